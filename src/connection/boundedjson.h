#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Limits on the size and nesting depth of a JSON message received from another process. */
struct JsonLimits {
    size_t bytes = 0;
    size_t depth = 0; /**< Maximum number of nested arrays and objects. */
    bool rejectsRepeatedFields = false; /**< Refuses an object in which a field occurs twice: readers may differ in the value that they take. */
};

/** Error in a message received from another process. Thrown by decoders and caught by boundedjson::decode(). */
class MessageParseError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * Parses JSON and CBOR received from other processes, with limits on size, nesting depth and values. nlohmann::json converts numbers without
 * range checks, and its CBOR parser, copies and dumps recurse once per level, so that deep nesting would overflow the stack.
 */
namespace boundedjson
{

using Json = nlohmann::json;

/** Largest integer that all JSON implementations represent exactly, including those that store numbers as doubles. */
constexpr uint64_t MaxExactInteger = (uint64_t { 1 } << 53U) - 1;

/** Maximum length of an id, name or address, in bytes. */
constexpr size_t MaxNameBytes = 512;

/** Maximum length of an error message, in bytes. Longer ones are truncated, because the JSON library quotes its input. */
constexpr size_t MaxErrorBytes = 200;

/** Parses JSON. @throws MessageParseError if a limit is exceeded, or an exception of the JSON library */
Json parse(std::string_view text, const JsonLimits &limits);

/** Parses CBOR. @throws MessageParseError if a limit is exceeded, or an exception of the JSON library */
Json parseCbor(std::string_view bytes, const JsonLimits &limits);

/** @return an integer from 0 to @p maximum. @throws MessageParseError if the value is not such an integer */
uint64_t unsignedInteger(const Json &value, uint64_t maximum);

/** @return an unsigned 32-bit integer. @throws MessageParseError if the value is not such an integer */
uint32_t unsignedInteger32(const Json &value);

/** @return an integer from -@p maximum to @p maximum. @throws MessageParseError if the value is not such an integer */
int64_t signedInteger(const Json &value, int64_t maximum);

/** @return a string of at most MaxNameBytes bytes. @throws MessageParseError if the value is not such a string */
std::string name(const Json &value);

/**
 * Runs a decoder and catches its exceptions.
 * @param errorMessage  receives the error message if the decoder throws; may be null
 * @return the result of the decoder, or empty if it throws
 */
template<typename Function>
auto decode(Function decoder, std::string *errorMessage = nullptr) -> std::optional<decltype(decoder())>
{
    try {
        return decoder();
    } catch (const std::exception &error) {
        // Catches every standard exception, not only those of the JSON library, because a message may also require more memory than is available.
        if (errorMessage != nullptr) {
            *errorMessage = std::string(error.what()).substr(0, MaxErrorBytes);
        }
    }
    return std::nullopt;
}

} // namespace boundedjson

} // namespace carobjunction
