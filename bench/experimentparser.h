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

/** Reason why an experiment file is invalid; see LastError. */
struct ExperimentError {
    std::string message;
};

/** Parses experiment files and merges YAML mappings. */
class ExperimentParser
{
public:
    /**
     * Parses an experiment and checks that it is consistent.
     * @param text  content of the file as YAML
     * @return the experiment, or empty if @p text is invalid; see LastError<ExperimentError>
     */
    static std::optional<Experiment> parse(const std::string &text);

    /**
     * Merges two YAML mappings. Nested mappings are merged recursively; any other value of @p changes replaces that of @p base.
     * @param base  YAML mapping; may be empty
     * @param changes  YAML mapping with the entries to add or replace; may be empty
     * @return the merged mapping as YAML
     */
    static std::string merge(const std::string &base, const std::string &changes);
};

} // namespace carobjunction::bench
