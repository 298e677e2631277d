#pragma once

#include <cstdint>
#include <string_view>

namespace carobjunction
{

/**
 * Computes a hash of a request that is the same in all daemons.
 * @return the first 64 bits of the SHA-256 over the parts and their lengths; never 0
 */
uint64_t computeFingerprint(std::string_view service, std::string_view method, std::string_view path, std::string_view body);

} // namespace carobjunction
