#pragma once

#include <carobjunction/version/configerror.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Node of a YAML document, with its position. Unlike YAML::Node, it keeps duplicate keys, so that they can be reported as errors. */
struct YamlNode {
    enum class Kind {
        Null,
        Scalar,
        Sequence,
        Mapping,
    };

    Kind kind = Kind::Null;
    int line = 1; /**< Counted from 1. */
    int column = 1; /**< Counted from 1. */
    bool isQuoted = false; /**< Whether the scalar is quoted, so that it is not accepted as a number or boolean. */
    std::string scalar; /**< Text of a scalar. */
    std::vector<YamlNode> children; /**< Items of a sequence; alternating keys and values of a mapping. */

    /** @return the value of the first key @p name of a mapping, or null */
    const YamlNode *find(std::string_view name) const;

    /**
     * Parses one document. Rejects anchors, aliases and tags, so that the tree cannot grow larger than the text.
     * @param text  content of the file, at most 64 KiB
     * @param file  name of the file for error messages
     * @param[out] errors  receives syntax errors and exceeded limits
     * @return the root, or empty if the text is not a valid document within the limits
     */
    static std::optional<YamlNode> parse(std::string_view text, const std::string &file, std::vector<ConfigError> &errors);
};

} // namespace carobjunction
