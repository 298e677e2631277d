#pragma once

#include <carobjunction/version/configfault.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/** Node of a YAML document with its position. Unlike YAML::Node it keeps duplicate keys, so that they can be reported. */
struct YamlNode {
    enum class Kind {
        Null,
        Scalar,
        Sequence,
        Mapping,
    };

    Kind kind = Kind::Null;
    int line = 1;
    int column = 1;
    bool isQuoted = false; /**< The scalar is written in quotes and so is never a number or a boolean. */
    std::string scalar;
    std::vector<YamlNode> children; /**< Items of a sequence; alternating keys and values of a mapping. */

    /** @return the first value with the key @p name of a mapping, or null */
    const YamlNode *find(std::string_view name) const;

    /**
     * Reads one document. Anchors, aliases and tags are rejected, so the tree is never larger than the text.
     * @param text  at most 64 KiB
     * @param file  name used in faults
     * @param[out] faults  receives faults of syntax and limits
     * @return the root, or empty if the text is not a document within the limits
     */
    static std::optional<YamlNode> parse(std::string_view text, const std::string &file, std::vector<ConfigFault> &faults);
};

} // namespace carobjunction
