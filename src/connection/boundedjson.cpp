#include "connection/boundedjson.h"

#include <limits>
#include <set>
#include <vector>

namespace carobjunction::boundedjson
{

namespace
{

/** SAX handler that stops the parser at the first array or object that exceeds a limit. Stores no values. */
class StructureChecker
{
public:
    explicit StructureChecker(const JsonLimits &limits) : m_limits(limits)
    {
    }

    /** @return what is wrong with the structure; empty if it is within the limits */
    const std::string &error() const
    {
        return m_error;
    }

    // NOLINTBEGIN(readability-identifier-naming): these function names are given by the SAX interface of nlohmann::json.
    bool null()
    {
        return true;
    }
    bool boolean(bool)
    {
        return true;
    }
    bool number_integer(Json::number_integer_t)
    {
        return true;
    }
    bool number_unsigned(Json::number_unsigned_t)
    {
        return true;
    }
    bool number_float(Json::number_float_t, const Json::string_t &)
    {
        return true;
    }
    bool string(Json::string_t &)
    {
        return true;
    }
    bool binary(Json::binary_t &)
    {
        return true;
    }
    bool key(Json::string_t &name)
    {
        if (m_limits.rejectsRepeatedFields && !m_fields.back().insert(name).second) {
            m_error = "field " + name + " occurs twice";
        }
        return m_error.empty();
    }
    bool start_object(size_t)
    {
        return enter();
    }
    bool start_array(size_t)
    {
        return enter();
    }
    bool end_object()
    {
        return leave();
    }
    bool end_array()
    {
        return leave();
    }
    bool parse_error(size_t, const std::string &, const Json::exception &)
    {
        return false; // Json::parse() or Json::from_cbor() reports the error afterwards
    }
    // NOLINTEND(readability-identifier-naming)

private:
    bool enter()
    {
        if (m_limits.rejectsRepeatedFields) {
            m_fields.emplace_back();
        }
        if (++m_depth > m_limits.depth) {
            m_error = "nested deeper than " + std::to_string(m_limits.depth) + " levels";
        }
        return m_error.empty();
    }

    bool leave()
    {
        if (m_limits.rejectsRepeatedFields) {
            m_fields.pop_back();
        }
        --m_depth;
        return true;
    }

    JsonLimits m_limits;
    size_t m_depth = 0;
    std::vector<std::set<std::string>> m_fields; /**< Names of the fields seen at each level, empty for arrays; used only to find repeated ones. */
    std::string m_error;
};

void checkLimits(std::string_view bytes, const JsonLimits &limits, Json::input_format_t format)
{
    if (bytes.size() > limits.bytes) {
        throw MessageParseError("longer than " + std::to_string(limits.bytes) + " bytes");
    }
    StructureChecker checker(limits);
    Json::sax_parse(bytes.begin(), bytes.end(), &checker, format);
    if (!checker.error().empty()) {
        throw MessageParseError(checker.error());
    }
}

} // namespace

Json parse(std::string_view text, const JsonLimits &limits)
{
    checkLimits(text, limits, Json::input_format_t::json);
    return Json::parse(text);
}

Json parseCbor(std::string_view bytes, const JsonLimits &limits)
{
    checkLimits(bytes, limits, Json::input_format_t::cbor);
    return Json::from_cbor(bytes.begin(), bytes.end());
}

uint64_t unsignedInteger(const Json &value, uint64_t maximum)
{
    if (!value.is_number_unsigned() || value.get<uint64_t>() > maximum) {
        throw MessageParseError("a value is not a whole number or is out of range");
    }
    return value.get<uint64_t>();
}

uint32_t unsignedInteger32(const Json &value)
{
    return static_cast<uint32_t>(unsignedInteger(value, std::numeric_limits<uint32_t>::max()));
}

int64_t signedInteger(const Json &value, int64_t maximum)
{
    if (value.is_number_unsigned()) {
        return static_cast<int64_t>(unsignedInteger(value, static_cast<uint64_t>(maximum)));
    }
    if (!value.is_number_integer() || value.get<int64_t>() < -maximum) {
        throw MessageParseError("a value is not a whole number or is out of range");
    }
    return value.get<int64_t>();
}

std::string name(const Json &value)
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > MaxNameBytes) {
        throw MessageParseError("a value is not a string or exceeds the length limit");
    }
    return value.get<std::string>();
}

} // namespace carobjunction::boundedjson
