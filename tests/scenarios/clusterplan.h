#pragma once

#include "cluster.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <set>
#include <string>

namespace carobjunction::scenarios
{

/** Section `cluster` of a scenario: the processes to start and their settings. */
struct ClusterPlan {
    bench::ClusterSpec spec;
    std::map<std::size_t, std::string> settingsByDaemon; /**< Overrides of the settings of individual daemons, as YAML. */
    std::set<std::size_t> absentTargets; /**< Targets whose backend servers are not started with the cluster. */
    bool isPublishedAtStart = true; /**< Whether to publish the configurations at the start and wait until they are in force and all targets are known. */

    /**
     * Parses the section `cluster` of a scenario.
     * @throws ScenarioError if a key is unknown or the section has no services
     * @throws YAML::Exception if a value has the wrong type
     */
    static ClusterPlan parse(const YAML::Node &node);
};

} // namespace carobjunction::scenarios
