#pragma once

#include <cstdint>
#include <string_view>

namespace carobjunction
{

/**
 * @param path  path with query string
 * @return a number that is equal for equal requests, in all processes and versions: the first 8 bytes of the SHA-256 of the
 *         parts, each preceded by its length. Never 0, which stands for "no fingerprint".
 */
uint64_t fingerprintOf(std::string_view service, std::string_view method, std::string_view path, std::string_view body);

} // namespace carobjunction
