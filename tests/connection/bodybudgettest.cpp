#include "connection/bodybudget.h"
#include "connection/incomingbodyreservation.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace carobjunction;

TEST_CASE("BodyBudget.oneBody.leavesBytesForOthers")
{
    // Guards against one body that exhausts the budget, and against a budget that rejects every large body.
    const auto budget = std::make_shared<BodyBudget>(100);
    CHECK_FALSE(budget->reserve(81));
    auto largeReservation = budget->reserve(80);
    REQUIRE(largeReservation);
    CHECK(budget->reservedBytes() == 80);
    CHECK_FALSE(largeReservation->resize(81));
    CHECK(largeReservation->bytes() == 80);
    CHECK(budget->reserve(16));
    CHECK_FALSE(budget->reserve(17));
    CHECK_FALSE(budget->reserve(UINT64_MAX));
}

TEST_CASE("BodyBudget.endOfABody.releasesItsBytes")
{
    const auto budget = std::make_shared<BodyBudget>(100);
    {
        auto first = budget->reserve(40);
        REQUIRE(first);
        const auto movedReservation = std::move(first);
        CHECK(budget->reservedBytes() == 40);
    }
    CHECK(budget->reservedBytes() == 0);
    auto shrinkingReservation = budget->reserve(60);
    REQUIRE(shrinkingReservation);
    CHECK(shrinkingReservation->resize(10));
    CHECK(budget->reservedBytes() == 10);
}

TEST_CASE("BodyBudget.bodiesWithoutEnd.endBelowTheBudget")
{
    // Guards against nine bodies that grow concurrently until no bytes are left for a short one.
    int exhaustedCount = 0;
    const auto budget = std::make_shared<BodyBudget>(1000, [&] { ++exhaustedCount; });
    std::vector<BodyBudget::Reservation> reservations;
    for (int i = 0; i < 9; ++i) {
        reservations.emplace_back(budget);
    }
    bool anyGrew = true;
    for (uint64_t size = 1; anyGrew; ++size) {
        anyGrew = false;
        for (BodyBudget::Reservation &body : reservations) {
            anyGrew = body.resize(size) || anyGrew;
        }
    }
    CHECK(exhaustedCount >= 9);
    CHECK(budget->reservedBytes() < 1000);
    CHECK(budget->reserve(10));
}

TEST_CASE("IncomingBodyReservation.completeBody.isReleasedWithTheMessage")
{
    // Guards against a reservation that is held until the response is written instead of until the message is destroyed, so that other
    // bodies are rejected although memory is free.
    const auto budget = std::make_shared<BodyBudget>(1000);
    IncomingBodyReservation bodyReservation(budget, 1);
    REQUIRE(bodyReservation.growTo(100, true));
    std::shared_ptr<void> reservedBytes = bodyReservation.complete(100);
    CHECK(budget->reservedBytes() == 100);
    reservedBytes.reset();
    CHECK(budget->reservedBytes() == 0);
}
