#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carobjunction::standin
{

/**
 * Content that only one request can have, so that a receiver detects another request's answer and lost or moved bytes.
 * @param requestId  value of Carob-Request-Id
 * @param size  length in bytes
 */
inline std::string answerBody(std::string_view requestId, std::size_t size)
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
