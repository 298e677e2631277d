#include "connection/callerserver.h"

#include <carobjunction/process/lasterror.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace carobjunction;
using namespace std::chrono_literals;

TEST_CASE("CallerFields.validRequest.isRead")
{
    // Guards against control fields that are ignored or assigned to the wrong member.
    HttpRequest request;
    request.set("Carob-Service", "ordering");
    request.set("Carob-Deadline-Ms", "250");
    request.set("Idempotency-Key", "order-17");
    request.set("Carob-Caller", "nursery-4");
    request.set("Carob-Hops", "3");
    request.set("Carob-Retries-Left", "0");
    const auto fields = parseCallerFields(request);
    REQUIRE(fields);
    CHECK(fields->service == "ordering");
    CHECK(fields->deadline == Duration(250ms));
    CHECK(fields->key == "order-17");
    CHECK(fields->caller == "nursery-4");
    CHECK(fields->hops == 3);
    CHECK(fields->retriesLeft == 0);
}

TEST_CASE("CallerFields.malformedDeadline.isRejectedWithTheFieldName")
{
    // Guards against a malformed deadline that is accepted as a value which the caller did not intend.
    for (const std::string value : { "", "0", "-1", "600001", "5s", "+5", "5 5", "5,5", "99999999999999999999" }) {
        HttpRequest request;
        request.set("Carob-Deadline-Ms", value);
        CHECK_FALSE(parseCallerFields(request));
        CHECK(LastError<MalformedField>::get().name == "Carob-Deadline-Ms");
    }
}

TEST_CASE("CallerFields.anyBytes.areRejectedOrInRange")
{
    // Guards against parser errors on untrusted input.
    CHECK(rc::check("bytes in each field", [](const std::string &deadline, const std::string &key, const std::string &hops) {
        HttpRequest request;
        request.insert("Carob-Deadline-Ms", deadline);
        request.insert("Idempotency-Key", key);
        request.insert("Carob-Hops", hops);
        const auto fields = parseCallerFields(request);
        RC_ASSERT(!fields || (*fields->deadline >= Duration(1ms) && *fields->deadline <= Duration(600s) && !fields->key.empty() && fields->key.size() <= 128));
    }));
}
