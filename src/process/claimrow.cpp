#include "process/claimrow.h"

namespace carobjunction
{

namespace
{

using nlohmann::json;

constexpr unsigned AsciiEnd = 0x80;
constexpr unsigned ContinuationBits = 6;
constexpr unsigned ContinuationMask = 0x3f;

/** Encodes each byte as the code point of the same number in UTF-8, because JSON text can't contain arbitrary bytes. ASCII is unchanged. */
std::string latin1ToUtf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < AsciiEnd) {
            text += c;
        } else {
            text += static_cast<char>(0xc0U | (byte >> ContinuationBits));
            text += static_cast<char>(AsciiEnd | (byte & ContinuationMask));
        }
    }
    return text;
}

/** Decodes the output of latin1ToUtf8(). */
std::string utf8ToLatin1(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < AsciiEnd || i + 1 == text.size()) {
            bytes += text[i];
        } else {
            const auto continuation = static_cast<unsigned char>(text[++i]);
            bytes += static_cast<char>((lead << ContinuationBits) | (continuation & ContinuationMask));
        }
    }
    return bytes;
}

/** @return total size of header names and values, in bytes */
size_t headerBytes(const HeaderList &headers)
{
    size_t size = 0;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size();
    }
    return size;
}

/** Reads all fields except the state. Throws if one is missing or has the wrong type. */
ClaimRow parseFields(const json &value)
{
    ClaimRow row;
    row.claimId = value.at("claim_id").get<std::string>();
    row.daemon = value.at("daemon").get<std::string>();
    row.fingerprint = value.at("fingerprint").get<uint64_t>();
    row.createdMs = value.at("created_ms").get<int64_t>();
    row.expiresMs = value.at("expires_ms").get<int64_t>();
    row.status = value.value("status", 0);
    row.complete = value.value("complete", false);
    row.body = utf8ToLatin1(value.value("body", std::string()));
    for (const json &header : value.value("headers", json::array())) {
        row.headers.emplace_back(utf8ToLatin1(header.at(0).get<std::string>()), utf8ToLatin1(header.at(1).get<std::string>()));
    }
    return row;
}

} // namespace

std::string ClaimRow::rowKeyFor(std::string_view service, std::string_view key)
{
    return "claim/" + latin1ToUtf8(service) + '/' + latin1ToUtf8(key);
}

void ClaimRow::recordResult(const CallResult &result)
{
    status = result.status;
    complete = result.body.size() <= MaxRecordedBodyBytes && headerBytes(result.headers) <= MaxRecordedHeaderBytes;
    headers = complete ? result.headers : HeaderList {};
    body = complete ? result.body : std::string();
}

json ClaimRow::toJson() const
{
    json value = { { "claim_id", claimId },        { "state", nameOf(state) },  { "daemon", daemon },
                   { "fingerprint", fingerprint }, { "created_ms", createdMs }, { "expires_ms", expiresMs } };
    if (state == ClaimRowState::Done) {
        json list = json::array();
        for (const auto &[name, text] : headers) {
            list.push_back({ latin1ToUtf8(name), latin1ToUtf8(text) });
        }
        value["status"] = status;
        value["complete"] = complete;
        value["headers"] = std::move(list);
        value["body"] = latin1ToUtf8(body);
    }
    return value;
}

std::optional<ClaimRow> ClaimRow::fromJson(const json &value)
{
    try {
        ClaimRow row = parseFields(value);
        const auto state = fromName<ClaimRowState>(value.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        row.state = *state;
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace carobjunction
