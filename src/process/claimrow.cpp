#include "process/claimrow.h"

namespace carobjunction
{

namespace
{

using nlohmann::json;

constexpr unsigned AsciiEnd = 0x80;
constexpr unsigned ContinuationBits = 6;
constexpr unsigned ContinuationMask = 0x3f;

/** Bytes as text of the code points 0 to 255, because JSON holds no arbitrary bytes. ASCII stays as it is. */
std::string bytesToText(std::string_view bytes)
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

/** Reverses bytesToText(). */
std::string textToBytes(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < AsciiEnd || i + 1 == text.size()) {
            bytes += text[i];
        } else {
            const auto next = static_cast<unsigned char>(text[++i]);
            bytes += static_cast<char>((lead << ContinuationBits) | (next & ContinuationMask));
        }
    }
    return bytes;
}

size_t sizeOf(const HeaderList &headers)
{
    size_t size = 0;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size();
    }
    return size;
}

ClaimRow parse(const json &value)
{
    ClaimRow row;
    row.claimId = value.at("claim_id").get<std::string>();
    row.daemon = value.at("daemon").get<std::string>();
    row.fingerprint = value.at("fingerprint").get<uint64_t>();
    row.createdMs = value.at("created_ms").get<int64_t>();
    row.expiresMs = value.at("expires_ms").get<int64_t>();
    row.status = value.value("status", 0);
    row.complete = value.value("complete", false);
    row.body = textToBytes(value.value("body", std::string()));
    for (const json &header : value.value("headers", json::array())) {
        row.headers.emplace_back(textToBytes(header.at(0).get<std::string>()), textToBytes(header.at(1).get<std::string>()));
    }
    return row;
}

} // namespace

std::string ClaimRow::keyOf(std::string_view service, std::string_view key)
{
    return "claim/" + bytesToText(service) + '/' + bytesToText(key);
}

void ClaimRow::setResult(const CallResult &result)
{
    status = result.status;
    complete = result.body.size() <= MaxRecordedBody && sizeOf(result.headers) <= MaxRecordedHeaders;
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
            list.push_back({ bytesToText(name), bytesToText(text) });
        }
        value["status"] = status;
        value["complete"] = complete;
        value["headers"] = std::move(list);
        value["body"] = bytesToText(body);
    }
    return value;
}

std::optional<ClaimRow> ClaimRow::fromJson(const json &value)
{
    try {
        ClaimRow row = parse(value);
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
