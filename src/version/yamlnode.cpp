#include "version/yamlnode.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace carobjunction
{

namespace
{

constexpr size_t MaxTextBytes = 64U << 10U;
// The file formats need a depth of 4. yaml-cpp recurses once per level, so this also bounds the stack usage.
constexpr size_t MaxDepth = 16;

/** Thrown to stop the parser of yaml-cpp at a node that the file formats do not support. */
class UnsupportedNode : public YAML::ParserException
{
public:
    using ParserException::ParserException;
};

/** Builds the node tree from the events of the yaml-cpp parser. */
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode takeRoot()
    {
        return std::move(m_root);
    }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        add(makeNode(YamlNode::Kind::Null, mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        throw UnsupportedNode(mark, "aliases are not supported");
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        YamlNode node = makeNode(YamlNode::Kind::Scalar, mark);
        node.isQuoted = tag == "!";
        node.scalar = value;
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        openNode(YamlNode::Kind::Sequence, mark, tag, anchor);
    }

    void OnSequenceEnd() override
    {
        closeNode();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        openNode(YamlNode::Kind::Mapping, mark, tag, anchor);
    }

    void OnMapEnd() override
    {
        closeNode();
    }

private:
    static YamlNode makeNode(YamlNode::Kind kind, const YAML::Mark &mark)
    {
        YamlNode node;
        node.kind = kind;
        // Lines and columns of marks start at 0, and yaml-cpp gives some implicit nodes -1.
        node.line = std::max(mark.line, 0) + 1;
        node.column = std::max(mark.column, 0) + 1;
        return node;
    }

    static void rejectAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor) {
            throw UnsupportedNode(mark, "anchors are not supported");
        }
    }

    static void rejectTag(const YAML::Mark &mark, const std::string &tag)
    {
        // yaml-cpp uses the tag "?" for plain nodes and "!" for quoted scalars.
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw UnsupportedNode(mark, "tags are not supported");
        }
    }

    void openNode(YamlNode::Kind kind, const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        if (m_openNodes.size() >= MaxDepth) {
            throw UnsupportedNode(mark, "nested more than " + std::to_string(MaxDepth) + " levels deep");
        }
        m_openNodes.push_back(makeNode(kind, mark));
    }

    void closeNode()
    {
        YamlNode node = std::move(m_openNodes.back());
        m_openNodes.pop_back();
        add(std::move(node));
    }

    void add(YamlNode node)
    {
        if (m_openNodes.empty()) {
            m_root = std::move(node);
        } else {
            m_openNodes.back().children.push_back(std::move(node));
        }
    }

    YamlNode m_root;
    std::vector<YamlNode> m_openNodes; /**< Sequences and mappings that are not yet complete, outermost first. */
};

std::optional<YamlNode> parseDocument(const std::string &text, const std::string &file, std::vector<ConfigError> &errors)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    TreeBuilder builder;
    if (!parser.HandleNextDocument(builder)) {
        errors.push_back({ file, 1, 1, "", "the file is empty" });
        return std::nullopt;
    }
    YamlNode root = builder.takeRoot();
    TreeBuilder remainder;
    if (parser.HandleNextDocument(remainder)) {
        const YamlNode second = remainder.takeRoot();
        errors.push_back({ file, second.line, second.column, "", "the file has more than one document" });
        return std::nullopt;
    }
    return root;
}

} // namespace

const YamlNode *YamlNode::find(std::string_view name) const
{
    if (kind != Kind::Mapping) {
        return nullptr;
    }
    for (size_t i = 0; i + 1 < children.size(); i += 2) {
        if (children[i].kind == Kind::Scalar && children[i].scalar == name) {
            return &children[i + 1];
        }
    }
    return nullptr;
}

std::optional<YamlNode> YamlNode::parse(std::string_view text, const std::string &file, std::vector<ConfigError> &errors)
{
    if (text.size() > MaxTextBytes) {
        errors.push_back({ file, 1, 1, "", "the file is larger than " + std::to_string(MaxTextBytes) + " bytes" });
        return std::nullopt;
    }
    try {
        return parseDocument(std::string(text), file, errors);
    } catch (const YAML::Exception &error) {
        const bool isSyntax = dynamic_cast<const UnsupportedNode *>(&error) == nullptr;
        errors.push_back({ file, std::max(error.mark.line, 0) + 1, std::max(error.mark.column, 0) + 1, "", (isSyntax ? "invalid YAML: " : "") + error.msg });
    } catch (const std::exception &error) {
        // yaml-cpp throws other standard exceptions for some malformed escapes and directives.
        errors.push_back({ file, 1, 1, "", std::string("invalid YAML: ") + error.what() });
    }
    return std::nullopt;
}

} // namespace carobjunction
