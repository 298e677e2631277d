#include "connection/bodybudget.h"
#include "connection/incomingbodyreservation.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace carobjunction;

TEST_CASE("BodyBudget.oneBody.leavesRoomForOthers")
{
    // Guards against one body that takes all room, and against a budget that no large body passes.
    const auto budget = std::make_shared<BodyBudget>(100);
    CHECK_FALSE(budget->reserve(81));
    auto large = budget->reserve(80);
    REQUIRE(large);
    CHECK(budget->reservedBytes() == 80);
    CHECK_FALSE(large->resize(81));
    CHECK(large->bytes() == 80);
    CHECK(budget->reserve(16));
    CHECK_FALSE(budget->reserve(17));
    CHECK_FALSE(budget->reserve(UINT64_MAX));
}

TEST_CASE("BodyBudget.endOfABody.givesItsRoomBack")
{
    const auto budget = std::make_shared<BodyBudget>(100);
    {
        auto first = budget->reserve(40);
        REQUIRE(first);
        const auto moved = std::move(first);
        CHECK(budget->reservedBytes() == 40);
    }
    CHECK(budget->reservedBytes() == 0);
    auto shrinking = budget->reserve(60);
    REQUIRE(shrinking);
    CHECK(shrinking->resize(10));
    CHECK(budget->reservedBytes() == 10);
}

TEST_CASE("BodyBudget.bodiesWithoutEnd.endBelowTheBudget")
{
    // Guards against nine bodies that grow at once and leave nothing for a short one.
    int refused = 0;
    const auto budget = std::make_shared<BodyBudget>(1000, [&] { ++refused; });
    std::vector<BodyBudget::Reservation> bodies;
    for (int i = 0; i < 9; ++i) {
        bodies.emplace_back(budget);
    }
    bool anyGrew = true;
    for (uint64_t size = 1; anyGrew; ++size) {
        anyGrew = false;
        for (BodyBudget::Reservation &body : bodies) {
            anyGrew = body.resize(size) || anyGrew;
        }
    }
    CHECK(refused >= 9);
    CHECK(budget->reservedBytes() < 1000);
    CHECK(budget->reserve(10));
}

TEST_CASE("BodyRoom.completeBody.givesItsRoomBackWithTheMessage")
{
    // Guards against room that the reader of a body keeps until its answer is written, so that others are refused without need.
    const auto budget = std::make_shared<BodyBudget>(1000);
    IncomingBodyReservation bodyReservation(budget, 1);
    REQUIRE(bodyReservation.growTo(100, true));
    std::shared_ptr<void> reservedBytes = bodyReservation.complete(100);
    CHECK(budget->reservedBytes() == 100);
    reservedBytes.reset();
    CHECK(budget->reservedBytes() == 0);
}
