#pragma once

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <stdexcept>
#include <string>

namespace carobjunction::scenarios
{

/** Thrown if a scenario file is invalid or a step fails. Aborts the scenario. */
class ScenarioError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * Rejects unknown keys, so that a misspelt check is not silently skipped.
 * @throws ScenarioError if @p node has a key that is not in @p known
 */
inline void requireKnownKeys(const YAML::Node &node, std::initializer_list<const char *> known)
{
    for (const auto &entry : node) {
        const auto key = entry.first.as<std::string>();
        bool isKnown = false;
        for (const char *name : known) {
            isKnown = isKnown || key == name;
        }
        if (!isKnown) {
            throw ScenarioError("line " + std::to_string(entry.first.Mark().line + 1) + ": unknown key " + key);
        }
    }
}

} // namespace carobjunction::scenarios
