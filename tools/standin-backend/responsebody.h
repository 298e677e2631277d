#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobjunction::standin
{

/**
 * Generates a response body from the request ID, so that a receiver detects a response to another request as well as lost
 * or reordered bytes.
 * @param requestId  value of Carob-Request-Id
 * @param size  length in bytes
 * @return pseudo-random lower-case letters
 */
inline std::string makeResponseBody(std::string_view requestId, std::size_t size)
{
    uint64_t state = 0xcbf29ce484222325U;
    for (const char c : requestId) {
        state = (state ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    std::string body(size, '\0');
    for (char &c : body) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        c = static_cast<char>('a' + (state >> 33U) % 26U);
    }
    return body;
}

} // namespace carobjunction::standin
