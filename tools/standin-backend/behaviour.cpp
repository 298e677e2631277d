#include "behaviour.h"

#include <algorithm>
#include <functional>
#include <map>

namespace carobjunction::standin
{

namespace
{

/** Returns the end of a fault that lasts the given time; a negative time never ends. */
TimePoint faultEnd(const nlohmann::json &milliseconds, TimePoint now)
{
    const auto count = milliseconds.get<int64_t>();
    return count < 0 ? TimePoint::max() : now + std::chrono::milliseconds(count);
}

Duration toDuration(const nlohmann::json &milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds.get<double>()));
}

/** Applies the value of one control field. */
using Setter = std::function<void(Behaviour &, const nlohmann::json &, TimePoint)>;
using Json = nlohmann::json;

/** Returns the setters by the name of their control field. */
const std::map<std::string, Setter> &setters()
{
    static const std::map<std::string, Setter> table {
        { "slow_factor",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.slowFactor = v.get<double>();
          } },
        { "slow_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.slow.until = faultEnd(v, now);
          } },
        { "cold_factor",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.coldFactor = v.get<double>();
          } },
        { "cold_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.cold.until = faultEnd(v, now);
          } },
        { "fail_status",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.failStatus = v.get<int>();
          } },
        { "fail_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.fail.until = faultEnd(v, now);
          } },
        { "shed_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.shed.until = faultEnd(v, now);
          } },
        { "drop_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.dropResponse.until = faultEnd(v, now);
          } },
        { "short_ms",
          [](Behaviour &b, const Json &v, TimePoint now) {
              b.truncatedResponse.until = faultEnd(v, now);
          } },
        { "load_lag_ms",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.loadLag = toDuration(v);
          } },
        { "load_lie",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.loadOverride = v;
          } },
        { "health_lag_ms",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.healthLag = toDuration(v);
          } },
        { "health_lie",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.healthOverride = v.is_null() ? std::nullopt : std::optional<bool>(v.get<bool>());
          } },
        { "crash_text",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.crashText = v.get<std::string>();
          } },
        { "announce",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.announce = v.get<bool>();
          } },
        { "service_time_ms",
          [](Behaviour &b, const Json &v, TimePoint) {
              b.serviceTime = toDuration(v);
          } },
    };
    return table;
}

} // namespace

double Behaviour::serviceTimeFactor(TimePoint now) const
{
    return (slow.isActive(now) ? slowFactor : 1) * (cold.isActive(now) ? coldFactor : 1);
}

TimePoint Behaviour::nextFactorChange(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const TemporaryFault &fault : { slow, cold }) {
        if (fault.isActive(now)) {
            next = std::min(next, fault.until);
        }
    }
    return next;
}

std::string Behaviour::apply(const nlohmann::json &fields, TimePoint now)
{
    if (!fields.is_object()) {
        return "body";
    }
    Behaviour changed = *this;
    for (const auto &[name, value] : fields.items()) {
        const auto setter = setters().find(name);
        if (setter == setters().end()) {
            return name;
        }
        try {
            setter->second(changed, value, now);
        } catch (const nlohmann::json::exception &) {
            return name;
        }
    }
    if (!(changed.slowFactor > 0) || !(changed.coldFactor > 0)) {
        return "factor";
    }
    *this = std::move(changed);
    return {};
}

} // namespace carobjunction::standin
