#pragma once

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <stdexcept>
#include <string>

namespace carobjunction::scenarios
{

/** A faulty scenario file, or a step that did not go as written. Ends the scenario. */
class ScenarioFault : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** @throws ScenarioFault if @p node has a key that is not in @p known, so that a misspelt check is not passed over */
inline void requireKnownKeys(const YAML::Node &node, std::initializer_list<const char *> known)
{
    for (const auto &entry : node) {
        const auto key = entry.first.as<std::string>();
        bool isKnown = false;
        for (const char *name : known) {
            isKnown = isKnown || key == name;
        }
        if (!isKnown) {
            throw ScenarioFault("line " + std::to_string(entry.first.Mark().line + 1) + ": unknown key " + key);
        }
    }
}

} // namespace carobjunction::scenarios
