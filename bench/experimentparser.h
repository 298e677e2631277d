#pragma once

#include "experiment.h"

#include <optional>
#include <string>

namespace YAML
{
class Node;
}

namespace carobjunction::bench
{

/** Why an experiment file was not accepted. */
struct ExperimentError {
    std::string message;
};

/** Reads experiment files. */
class ExperimentParser
{
public:
    /**
     * @param text  YAML
     * @return the experiment; empty on a fault, see LastReason<ExperimentError>
     */
    static std::optional<Experiment> parse(const std::string &text);

    /**
     * @param base  YAML mapping
     * @param changes  YAML mapping whose entries replace those of @p base, mapping by mapping
     * @return the merged mapping as text
     */
    static std::string merge(const std::string &base, const std::string &changes);
};

} // namespace carobjunction::bench
