#pragma once

#include "cluster.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <set>
#include <string>

namespace carobjunction::scenarios
{

/** The part of a scenario that says which processes there are. */
struct ClusterPlan {
    bench::ClusterSpec spec;
    std::map<std::size_t, std::string> settings; /**< Changes to the settings of single daemons as YAML. */
    std::set<std::size_t> absentTargets; /**< Targets whose backend servers aren't started at first. */
    bool publish = true; /**< Publish the configurations at the start and wait until they are in force and all targets known. */

    /** @throws ScenarioFault, YAML::Exception */
    static ClusterPlan parse(const YAML::Node &node);
};

} // namespace carobjunction::scenarios
