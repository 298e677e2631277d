#include <carobjunction/request/fingerprint.h>

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace carobjunction
{

namespace
{

void append(EVP_MD_CTX *context, std::string_view part)
{
    // Hashing the length as well makes "ab" + "c" differ from "a" + "bc".
    const uint64_t length = part.size();
    EVP_DigestUpdate(context, &length, sizeof(length));
    EVP_DigestUpdate(context, part.data(), part.size());
}

} // namespace

uint64_t computeFingerprint(std::string_view service, std::string_view method, std::string_view path, std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : { service, method, path, body }) {
        append(context.get(), part);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    uint64_t value = 0;
    for (size_t index = 0; index < sizeof(value); ++index) {
        value = (value << 8U) | digest[index];
    }
    return value == 0 ? 1 : value;
}

} // namespace carobjunction
