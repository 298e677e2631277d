#include "request/cancellation.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace carobjunction;

TEST_CASE("Cancellation.request.callsEachCallbackOnce")
{
    Cancellation cancellation;
    std::vector<int> called;
    const Cancellation::Registration first(cancellation, [&] { called.push_back(1); });
    const Cancellation::Registration second(cancellation, [&] { called.push_back(2); });
    cancellation.request();
    cancellation.request();
    CHECK(called == std::vector { 1, 2 });
}

TEST_CASE("Cancellation.registrationThatEndsInACallback.isNotCalled")
{
    // Guards against a callback that accesses objects destroyed together with its registration.
    Cancellation cancellation;
    std::vector<int> called;
    std::optional<Cancellation::Registration> second;
    const Cancellation::Registration first(cancellation, [&] {
        called.push_back(1);
        second.reset();
    });
    second.emplace(cancellation, [&] { called.push_back(2); });
    const Cancellation::Registration third(cancellation, [&] { called.push_back(3); });
    cancellation.request();
    CHECK(called == std::vector { 1, 3 });
}

TEST_CASE("Cancellation.registrationThatEndsInItsOwnCallback.isCalledOnce")
{
    // Guards against a callback that is destroyed while it runs.
    Cancellation cancellation;
    int called = 0;
    std::optional<Cancellation::Registration> ownRegistration;
    ownRegistration.emplace(cancellation, [&ownRegistration, &called] {
        ownRegistration.reset();
        ++called;
    });
    cancellation.request();
    CHECK(called == 1);
}

TEST_CASE("Cancellation.registrationDuringTheRequest.isNotCalled")
{
    // Guards against an endless loop in which a cancellation calls callbacks that were registered by its own callbacks.
    Cancellation cancellation;
    int called = 0;
    std::optional<Cancellation::Registration> addedRegistration;
    const Cancellation::Registration first(cancellation, [&] { addedRegistration.emplace(cancellation, [&] { ++called; }); });
    cancellation.request();
    CHECK(called == 0);
}
