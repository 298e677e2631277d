#include <carobjunction/process/fingerprint.h>

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <new>

namespace carobjunction
{

namespace
{

constexpr unsigned BitsPerByte = 8;
constexpr size_t LengthBytes = 8;

void require(int success)
{
    if (success != 1) {
        throw std::bad_alloc(); // SHA-256 fails for lack of memory only
    }
}

} // namespace

uint64_t fingerprintOf(std::string_view service, std::string_view method, std::string_view path, std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    require(context ? EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) : 0);
    for (const std::string_view part : { service, method, path, body }) {
        // The length keeps ("a", "bc") and ("ab", "c") apart.
        std::array<unsigned char, LengthBytes> length {};
        for (size_t i = 0; i < LengthBytes; ++i) {
            length[i] = static_cast<unsigned char>(static_cast<uint64_t>(part.size()) >> (BitsPerByte * i));
        }
        require(EVP_DigestUpdate(context.get(), length.data(), length.size()));
        require(EVP_DigestUpdate(context.get(), part.data(), part.size()));
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    require(EVP_DigestFinal_ex(context.get(), digest.data(), nullptr));
    uint64_t result = 0;
    for (size_t i = 0; i < sizeof(result); ++i) {
        result = result << BitsPerByte | digest[i];
    }
    return result == 0 ? 1 : result;
}

} // namespace carobjunction
