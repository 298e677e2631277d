#include "connection/boundedjson.h"

#include <limits>

namespace carobjunction::boundedjson
{

namespace
{

/** Handler of the JSON library's events that keeps nothing and stops the reader at the first array or object that is too deep. */
class NestingDepthChecker
{
public:
    explicit NestingDepthChecker(size_t maxDepth) : m_maxDepth(maxDepth)
    {
    }

    bool isTooDeep() const
    {
        return m_isTooDeep;
    }

    // NOLINTBEGIN(readability-identifier-naming): the names of the following functions are the library's.
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
    bool key(Json::string_t &)
    {
        return true;
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
        return false; // the second pass reports it
    }
    // NOLINTEND(readability-identifier-naming)

private:
    bool enter()
    {
        m_isTooDeep = ++m_depth > m_maxDepth;
        return !m_isTooDeep;
    }

    bool leave()
    {
        --m_depth;
        return true;
    }

    size_t m_maxDepth;
    size_t m_depth = 0;
    bool m_isTooDeep = false;
};

void checkLimits(std::string_view bytes, const JsonBounds &bounds, Json::input_format_t format)
{
    if (bytes.size() > bounds.bytes) {
        throw UnreadableMessage("longer than " + std::to_string(bounds.bytes) + " bytes");
    }
    NestingDepthChecker depthChecker(bounds.depth);
    Json::sax_parse(bytes.begin(), bytes.end(), &depthChecker, format);
    if (depthChecker.isTooDeep()) {
        throw UnreadableMessage("nested deeper than " + std::to_string(bounds.depth) + " levels");
    }
}

} // namespace

Json parse(std::string_view text, const JsonBounds &bounds)
{
    checkLimits(text, bounds, Json::input_format_t::json);
    return Json::parse(text);
}

Json parseCbor(std::string_view bytes, const JsonBounds &bounds)
{
    checkLimits(bytes, bounds, Json::input_format_t::cbor);
    return Json::from_cbor(bytes.begin(), bytes.end());
}

uint64_t whole(const Json &value, uint64_t maximum)
{
    if (!value.is_number_unsigned() || value.get<uint64_t>() > maximum) {
        throw UnreadableMessage("a number is out of range or has another type");
    }
    return value.get<uint64_t>();
}

uint32_t whole32(const Json &value)
{
    return static_cast<uint32_t>(whole(value, std::numeric_limits<uint32_t>::max()));
}

int64_t signedWhole(const Json &value, int64_t maximum)
{
    if (value.is_number_unsigned()) {
        return static_cast<int64_t>(whole(value, static_cast<uint64_t>(maximum)));
    }
    if (!value.is_number_integer() || value.get<int64_t>() < -maximum) {
        throw UnreadableMessage("a number is out of range or has another type");
    }
    return value.get<int64_t>();
}

std::string name(const Json &value)
{
    if (!value.is_string() || value.get_ref<const std::string &>().size() > MaxNameBytes) {
        throw UnreadableMessage("a text is too long or has another type");
    }
    return value.get<std::string>();
}

} // namespace carobjunction::boundedjson
