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

/** Size and nesting up to which a message of another process is read. */
struct JsonBounds {
    size_t bytes = 0;
    size_t depth = 0; /**< Arrays and objects within each other. */
};

/** Why a message of another process can't be read. Thrown by the functions of boundedjson only, and caught by boundedjson::decode(). */
class UnreadableMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * Reads JSON that other processes wrote. The JSON library converts numbers without looking at their range, and its binary reader, copies and
 * dumps recurse once a level, so that deep nesting overflows the stack.
 */
namespace boundedjson
{

using Json = nlohmann::json;

/** Largest whole number that every JSON writer keeps exact, also one that holds numbers as doubles. */
constexpr uint64_t LargestExact = (uint64_t { 1 } << 53U) - 1;

/** Longest id, name or address that is read, in bytes. */
constexpr size_t MaxNameBytes = 512;

/** Bytes of a fault that are kept, since the JSON library quotes what it has read. */
constexpr size_t MaxErrorBytes = 200;

/** @throws UnreadableMessage or an exception of the JSON library */
Json parse(std::string_view text, const JsonBounds &bounds);

/** Reads CBOR. @throws UnreadableMessage or an exception of the JSON library */
Json parseCbor(std::string_view bytes, const JsonBounds &bounds);

/** @return a whole number, which must not be negative, a fraction or more than @p most. @throws UnreadableMessage */
uint64_t whole(const Json &value, uint64_t maximum);

/** @return a whole number of 32 bits. @throws UnreadableMessage */
uint32_t whole32(const Json &value);

/** @return a whole number from -@p most to @p most. @throws UnreadableMessage */
int64_t signedWhole(const Json &value, int64_t maximum);

/** @return a text of at most MaxNameBytes bytes. @throws UnreadableMessage */
std::string name(const Json &value);

/**
 * Runs a decoder.
 * @param fault  receives why the message can't be read; may be null
 * @return what the decoder returns, or empty if it throws
 */
template<typename Function>
auto decode(Function decoder, std::string *fault = nullptr) -> std::optional<decltype(decoder())>
{
    try {
        return decoder();
    } catch (const std::exception &error) {
        // Not only exceptions of the JSON library: a message may also ask for more memory than there is.
        if (fault != nullptr) {
            *fault = std::string(error.what()).substr(0, MaxErrorBytes);
        }
    }
    return std::nullopt;
}

} // namespace boundedjson

} // namespace carobjunction
