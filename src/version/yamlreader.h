#pragma once

#include <carobjunction/process/enumnames.h>
#include <carobjunction/version/configerror.h>
#include <carobjunction/version/keydescription.h>

#include "version/parsedsettings.h"
#include "version/valuetext.h"
#include "version/yamlnode.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobjunction
{

/** Reads values from the YAML tree of one file and collects the errors. Reading continues after an error, so that all of them are reported. */
class YamlReader
{
public:
    /**
     * @param file  name of the file for error messages
     * @param errors  receives the errors; must outlive this object
     */
    YamlReader(std::string file, std::vector<ConfigError> &errors);

    /** Adds an error at the position of @p node. */
    void addError(const YamlNode &node, const std::string &field, const std::string &reason);

    /** @return the text of a scalar; if @p node is none, adds an error and returns null */
    const std::string *readText(const YamlNode &node, const std::string &field);

    /**
     * Like readText(), but rejects quoted scalars.
     * @param type  name of the expected type for the error message
     */
    const std::string *readUnquoted(const YamlNode &node, const std::string &field, std::string_view type);

    /** Sorts the errors by position. */
    void sortErrors();

private:
    std::string m_file;
    std::vector<ConfigError> &m_errors;
};

/**
 * Schema of one key of a mapping: its description and the function that reads its value.
 * @tparam Owner  type of the object that receives the value
 */
template<typename Owner>
struct KeyRule {
    KeyDescription description; /**< Description of the key; its path is the name of the key. */
    std::function<void(YamlReader &, const YamlNode &, const std::string &, Owner &)> read; /**< Reads the value into the owner. */
    std::vector<KeyDescription> nested; /**< Keys nested in the value, with paths that start with the name of this key. */

    bool isRequired() const
    {
        return description.defaultValue == "required";
    }

    /** Makes the key required. */
    KeyRule required() &&
    {
        return std::move(*this).withDefault("required");
    }

    /** Sets the documented default value. */
    KeyRule withDefault(const std::string &text) &&
    {
        description.defaultValue = text;
        return std::move(*this);
    }
};

/** Reads the keys of a mapping into @p owner and adds an error for each unknown, duplicate or missing key. */
template<typename Owner>
void readMapping(YamlReader &reader, const YamlNode &node, const std::string &path, const std::vector<KeyRule<Owner>> &rules, Owner &owner)
{
    if (node.kind != YamlNode::Kind::Mapping) {
        reader.addError(node, path, "must be a mapping of keys to values");
        return;
    }
    const std::string prefix = path.empty() ? "" : path + ".";
    std::set<std::string> seenKeys;
    for (size_t i = 0; i + 1 < node.children.size(); i += 2) {
        const YamlNode &key = node.children[i];
        if (key.kind != YamlNode::Kind::Scalar) {
            reader.addError(key, path, "a key must be a scalar");
            continue;
        }
        const std::string field = prefix + key.scalar;
        if (!seenKeys.insert(key.scalar).second) {
            reader.addError(key, field, "duplicate key");
            continue;
        }
        const auto rule
            = std::find_if(rules.begin(), rules.end(), [&key](const KeyRule<Owner> &candidate) { return candidate.description.path == key.scalar; });
        if (rule == rules.end()) {
            reader.addError(key, field, "unknown key");
            continue;
        }
        const YamlNode &value = node.children[i + 1];
        if (value.kind == YamlNode::Kind::Null) {
            // yaml-cpp reports an omitted value at the position of the next token, so the position of the key is used.
            reader.addError(key, field, "has no value");
        } else {
            rule->read(reader, value, field, owner);
        }
    }
    for (const KeyRule<Owner> &rule : rules) {
        if (rule.isRequired() && seenKeys.count(rule.description.path) == 0) {
            reader.addError(node, prefix + rule.description.path, "missing, but required");
        }
    }
}

/** @return the descriptions of all keys, including nested ones */
template<typename Owner>
std::vector<KeyDescription> describe(const std::vector<KeyRule<Owner>> &rules)
{
    std::vector<KeyDescription> result;
    for (const KeyRule<Owner> &rule : rules) {
        result.push_back(rule.description);
        result.insert(result.end(), rule.nested.begin(), rule.nested.end());
    }
    return result;
}

/** @return @p descriptions with @p prefix prepended to all paths */
std::vector<KeyDescription> withPathPrefix(const std::string &prefix, std::vector<KeyDescription> descriptions);

/** Creates the rule of a key with a text value that @p isValid accepts. */
template<typename Owner>
KeyRule<Owner> textKey(const std::string &name, std::string Owner::*member, const std::string &range, bool (*isValid)(std::string_view))
{
    return { { name, "text", "", "empty", range }, [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) {
                const std::string *text = reader.readText(node, field);
                if (text != nullptr && !isValid(*text)) {
                    reader.addError(node, field, "must be " + range + ", not '" + ValueText::toPrintable(*text) + "'");
                } else if (text != nullptr) {
                    owner.*member = *text;
                }
            } };
}

namespace detail
{

/** Creates the rule of a key with an unquoted value from @p minimum to @p maximum. */
template<typename Owner, typename Value, typename Bound, typename Parse, typename Format>
KeyRule<Owner> boundedKey(KeyDescription description, Value Owner::*member, Bound minimum, Bound maximum, Parse parse, Format format)
{
    description.defaultValue = format(static_cast<Bound>(Owner {}.*member));
    description.range = format(minimum) + " to " + format(maximum);
    const auto read = [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) {
        const std::string *text = reader.readUnquoted(node, field, description.type);
        if (text == nullptr) {
            return;
        }
        const auto value = parse(*text);
        if (!value) {
            reader.addError(node, field, "must be a " + description.type + ", not '" + ValueText::toPrintable(*text) + "'");
        } else if (*value < minimum || *value > maximum) {
            reader.addError(node, field, "must be from " + format(minimum) + " to " + format(maximum) + ", not " + ValueText::toPrintable(*text));
        } else {
            owner.*member = static_cast<Value>(*value);
        }
    };
    return { description, read };
}

} // namespace detail

/** Creates the rule of a key with a whole number. */
template<typename Owner>
KeyRule<Owner> integerKey(const std::string &name, uint32_t Owner::*member, const std::string &unit, uint64_t minimum, uint64_t maximum)
{
    return detail::boundedKey<Owner>(
        { name, "whole number", unit }, member, minimum, maximum, &ValueText::parseInteger, [](uint64_t value) { return std::to_string(value); });
}

/** Creates the rule of a key with a decimal number. */
template<typename Owner>
KeyRule<Owner> realKey(const std::string &name, double Owner::*member, const std::string &unit, double minimum, double maximum)
{
    return detail::boundedKey<Owner>(
        { name, "number", unit }, member, minimum, maximum, &ValueText::parseReal, [](double value) { return ValueText::format(value); });
}

/** Creates the rule of a key with a duration. */
template<typename Owner>
KeyRule<Owner> durationKey(const std::string &name, Duration Owner::*member, Duration minimum, Duration maximum)
{
    return detail::boundedKey<Owner>({ name, "duration", "us, ms, s, min or h" }, member, minimum, maximum, &ValueText::parseDuration, [](Duration value) {
        return ValueText::format(value);
    });
}

/** Creates the rule of a key with a size in bytes. */
template<typename Owner>
KeyRule<Owner> sizeKey(const std::string &name, uint64_t Owner::*member, uint64_t minimum, uint64_t maximum)
{
    return detail::boundedKey<Owner>({ name, "size", "bytes, KiB or MiB" }, member, minimum, maximum, &ValueText::parseSize, &ValueText::formatSize);
}

/** Creates the rule of a key with a boolean, written as yes or no. */
template<typename Owner>
KeyRule<Owner> booleanKey(const std::string &name, bool Owner::*member)
{
    return { { name, "boolean", "", Owner {}.*member ? "yes" : "no", "yes or no" },
             [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) {
                 const std::string *text = reader.readUnquoted(node, field, "boolean");
                 const auto value = text == nullptr ? std::nullopt : ValueText::parseBoolean(*text);
                 if (value) {
                     owner.*member = *value;
                 } else if (text != nullptr) {
                     reader.addError(node, field, "must be yes or no, not '" + ValueText::toPrintable(*text) + "'");
                 }
             } };
}

/** Creates the rule of a key with the name of an enumeration value. */
template<typename Owner, typename Enum>
KeyRule<Owner> choiceKey(const std::string &name, Enum Owner::*member)
{
    std::string range;
    for (const auto &[value, valueName] : EnumNames<Enum>::Table) {
        range += (range.empty() ? "" : ", ") + std::string(valueName);
    }
    return { { name, "word", "", std::string(nameOf(Owner {}.*member)), range },
             [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) {
                 const std::string *text = reader.readText(node, field);
                 const auto value = text == nullptr ? std::nullopt : fromName<Enum>(*text);
                 if (value) {
                     owner.*member = *value;
                 } else if (text != nullptr) {
                     reader.addError(node, field, "must be one of " + range + ", not '" + ValueText::toPrintable(*text) + "'");
                 }
             } };
}

/** Creates the rule of a key with a mapping that is read into a member of @p Owner. */
template<typename Owner, typename Section>
KeyRule<Owner> sectionKey(const std::string &name, Section Owner::*member, const std::vector<KeyRule<Section>> &rules)
{
    return { { name, "mapping", "", "defaults of its keys", "" },
             [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) { readMapping(reader, node, field, rules, owner.*member); },
             withPathPrefix(name + ".", describe(rules)) };
}

/** Creates the rule of a key with a mapping whose values are read into @p Owner itself. */
template<typename Owner>
KeyRule<Owner> groupKey(const std::string &name, const std::vector<KeyRule<Owner>> &rules)
{
    return { { name, "mapping", "", "defaults of its keys", "" },
             [=](YamlReader &reader, const YamlNode &node, const std::string &field, Owner &owner) { readMapping(reader, node, field, rules, owner); },
             withPathPrefix(name + ".", describe(rules)) };
}

/**
 * Parses a settings file.
 * @param text  content of the file
 * @param file  name of the file for error messages
 * @param rules  rules of the top-level keys
 * @param check  called with the checker, the root node and the settings, to check rules that involve several keys; not called unless the
 *               root node is a mapping
 */
template<typename Settings, typename Check>
ParsedSettings<Settings> parseSettings(std::string_view text, const std::string &file, const std::vector<KeyRule<Settings>> &rules, const Check &check)
{
    ParsedSettings<Settings> result;
    const auto root = YamlNode::parse(text, file, result.errors);
    if (!root) {
        return result;
    }
    Settings settings;
    YamlReader reader(file, result.errors);
    readMapping(reader, *root, "", rules, settings);
    if (root->kind == YamlNode::Kind::Mapping) {
        check(reader, *root, settings);
    }
    reader.sortErrors();
    if (result.errors.empty()) {
        result.settings = std::move(settings);
    }
    return result;
}

} // namespace carobjunction
