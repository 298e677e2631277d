#include <carobjunction/process/callershares.h>

#include <catch2/catch.hpp>

using namespace carobjunction;

TEST_CASE("CallerShares.callerAlone.mayTakeAllPlaces")
{
    // Guards against slots that stay idle because a caller is limited to a share although no other caller has requests.
    CallerShares shares;
    for (int i = 0; i < 30; ++i) {
        shares.acquire("depot");
    }
    CHECK_FALSE(shares.hasUsedFairShare("depot", 27));
}

TEST_CASE("CallerShares.severalCallers.getEqualParts")
{
    // Guards against a caller with many requests that uses up the shares of the other callers.
    CallerShares shares;
    for (int i = 0; i < 9; ++i) {
        shares.acquire("depot");
    }
    shares.acquire("ward");
    CHECK(shares.fairShare("depot", 27) == 13);
    CHECK_FALSE(shares.hasUsedFairShare("depot", 27));
    CHECK(shares.fairShare("mill", 27) == 9);
    CHECK(shares.hasUsedFairShare("depot", 18));
    CHECK_FALSE(shares.hasUsedFairShare("ward", 18));
}

TEST_CASE("CallerShares.placesGivenBack.countNoMore")
{
    CallerShares shares;
    shares.acquire("depot");
    shares.acquire("ward");
    shares.release("ward");
    shares.release("ward");
    CHECK(shares.heldBy("ward") == 0);
    CHECK_FALSE(shares.hasUsedFairShare("depot", 1));
}
