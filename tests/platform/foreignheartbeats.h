#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace carobjunction::platform
{

/** Service that no configuration names. */
constexpr const char *UnnamedService = "unnamed";

/** Heartbeat of another writer: its body has one defect. */
struct ForeignHeartbeat {
    std::string defect;
    std::string body;
};

namespace detail
{

/** @return a value of another type than @p value */
inline nlohmann::json ofAnotherType(const nlohmann::json &value)
{
    return value.is_string() ? nlohmann::json(7) : value.is_object() ? nlohmann::json::array() : nlohmann::json("7");
}

/** @return @p text with an earlier second occurrence of the field @p name */
inline std::string withFieldTwice(std::string text, const std::string &name)
{
    const std::string field = "\"" + name + "\":";
    return text.insert(text.find(field), field + "0,");
}

/** Adds heartbeats in which one field is missing, has another type or occurs twice. */
inline void addDefectsOfField(std::vector<ForeignHeartbeat> &list, const nlohmann::json &body, const std::string &parent, const std::string &name)
{
    const nlohmann::json::json_pointer parentPointer(parent);
    nlohmann::json without = body;
    without[parentPointer].erase(name);
    list.push_back({ name + " is missing", without.dump() });
    nlohmann::json otherType = body;
    otherType[parentPointer][name] = ofAnotherType(body[parentPointer][name]);
    list.push_back({ name + " has another type", otherType.dump() });
    list.push_back({ name + " occurs twice", withFieldTwice(body.dump(), name) });
}

} // namespace detail

/** @return @p body with one defect each */
inline std::vector<ForeignHeartbeat> foreignHeartbeats(const nlohmann::json &body)
{
    std::vector<ForeignHeartbeat> list;
    for (const auto &[name, value] : body.items()) {
        detail::addDefectsOfField(list, body, "", name);
        const nlohmann::json members = value.is_object() ? value : nlohmann::json::object();
        for (const auto &[innerName, innerValue] : members.items()) {
            detail::addDefectsOfField(list, body, "/" + name, innerName);
        }
    }
    const std::string otherService = body.at("info").at("service") == "dispatch" ? "ordering" : "dispatch";
    for (const auto &[pointer, value] : std::vector<std::pair<std::string, std::string>> {
             { "/info/service", UnnamedService }, { "/info/service", otherService }, { "/status/state", "resting" }, { "/address", "127.0.0.1:1" } }) {
        nlohmann::json changed = body;
        changed[nlohmann::json::json_pointer(pointer)] = value;
        list.push_back({ pointer + " is " + value, changed.dump() });
    }
    list.push_back({ "bytes that are no text", "\xff\xfe" + body.dump() });
    list.push_back({ "cut off", body.dump().substr(0, 40) });
    return list;
}

} // namespace carobjunction::platform
