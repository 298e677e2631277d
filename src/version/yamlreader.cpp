#include "version/yamlreader.h"

#include <algorithm>
#include <tuple>

namespace carobjunction
{

YamlReader::YamlReader(std::string file, std::vector<ConfigError> &errors) : m_file(std::move(file)), m_errors(errors)
{
}

void YamlReader::addError(const YamlNode &node, const std::string &field, const std::string &reason)
{
    m_errors.push_back({ m_file, node.line, node.column, ValueText::toPrintable(field), reason });
}

const std::string *YamlReader::readText(const YamlNode &node, const std::string &field)
{
    if (node.kind == YamlNode::Kind::Null) {
        addError(node, field, "has no value");
        return nullptr;
    }
    if (node.kind != YamlNode::Kind::Scalar) {
        addError(node, field, "must be a single value, not a list or mapping");
        return nullptr;
    }
    return &node.scalar;
}

const std::string *YamlReader::readUnquoted(const YamlNode &node, const std::string &field, std::string_view type)
{
    const std::string *text = readText(node, field);
    if (text != nullptr && node.isQuoted) {
        addError(node, field, "must be a " + std::string(type) + " without quotes");
        return nullptr;
    }
    return text;
}

void YamlReader::sortErrors()
{
    std::stable_sort(m_errors.begin(), m_errors.end(), [](const ConfigError &left, const ConfigError &right) {
        return std::tie(left.line, left.column) < std::tie(right.line, right.column);
    });
}

std::vector<KeyDescription> withPathPrefix(const std::string &prefix, std::vector<KeyDescription> descriptions)
{
    for (KeyDescription &description : descriptions) {
        description.path.insert(0, prefix);
    }
    return descriptions;
}

std::string ConfigError::toString() const
{
    std::string text = file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": ";
    if (!field.empty()) {
        text += field + ": ";
    }
    return text + reason;
}

} // namespace carobjunction
