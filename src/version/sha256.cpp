#include "version/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace carobjunction
{

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string result;
    result.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        result += Digits[byte >> 4U];
        result += Digits[byte & 15U];
    }
    return result;
}

} // namespace carobjunction
