#pragma once

#include <cstdint>
#include <string_view>

namespace carobjunction
{

/** @return @p value with its bits mixed, so that similar values have uncorrelated results */
constexpr uint64_t mixBits(uint64_t value)
{
    // Constants of the splitmix64 generator.
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/**
 * Computes a hash that is identical in all processes and releases, because daemons exchange and compare its values.
 * @param text  arbitrary bytes
 * @param seed  selects one of a family of independent hash functions
 */
constexpr uint64_t stableHash(std::string_view text, uint64_t seed = 0)
{
    // Constants of the 64-bit FNV-1a hash.
    uint64_t hash = 0xcbf29ce484222325U ^ mixBits(seed);
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3U;
    }
    return mixBits(hash);
}

} // namespace carobjunction
