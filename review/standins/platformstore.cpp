#include "platformstore.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace carobjunction::review
{

namespace
{

std::string toBase64(const std::string &text)
{
    std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(encoded.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    encoded.resize(static_cast<size_t>(size));
    return encoded;
}

/** @return a parameter of the query of @p target, with %XX decoded */
std::string queryParameter(const std::string &target, const std::string &name)
{
    size_t begin = target.find("?" + name + "=");
    begin = begin == std::string::npos ? target.find("&" + name + "=") : begin;
    if (begin == std::string::npos) {
        return "";
    }
    begin += name.size() + 2;
    const std::string text = target.substr(begin, target.find('&', begin) - begin);
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

Response jsonResponse(http::status status, const nlohmann::json &body)
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

} // namespace

PlatformStore::PlatformStore(Record &record, uint16_t port) : m_record(record), m_server([this](const Request &request) { return handle(request); })
{
    if (!m_server.start(port)) {
        throw std::runtime_error("the store's port is in use");
    }
}

PlatformStore::~PlatformStore()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        m_changed.notify_all();
    }
    m_server.stop();
    for (std::thread &thread : m_lateWrites) {
        thread.join();
    }
}

void PlatformStore::put(const std::string &table, const std::string &key, const std::string &text)
{
    const std::scoped_lock lock(m_mutex);
    m_rows[{ table, key }] = { toBase64(text), ++m_version };
    m_changed.notify_all();
}

void PlatformStore::loseNextWriteOf(const std::string &key, Milliseconds delay)
{
    const std::scoped_lock lock(m_mutex);
    m_keyOfLostWrite = key;
    m_lostWriteDelay = delay;
}

void PlatformStore::goSilent(Milliseconds duration)
{
    const std::scoped_lock lock(m_mutex);
    m_silentUntil = Clock::now() + duration;
    m_record.write("store: silent for " + std::to_string(duration.count()) + " ms");
}

bool PlatformStore::isSilent() const
{
    return Clock::now() < m_silentUntil;
}

std::pair<int, int> PlatformStore::writeCounts()
{
    const std::scoped_lock lock(m_mutex);
    return { m_writes, m_lostWrites };
}

std::optional<Response> PlatformStore::handle(const Request &request)
{
    const std::string target(request.target().data(), request.target().size());
    {
        const std::scoped_lock lock(m_mutex);
        if (isSilent()) {
            m_record.write("store: no answer to " + target);
            return std::nullopt;
        }
    }
    if (target.rfind("/v1/rows-get", 0) == 0) {
        return get(target);
    }
    if (target.rfind("/v1/rows-feed", 0) == 0) {
        return feed(target);
    }
    if (target == "/v1/rows-tx") {
        return transact(Json::parse(request.body()));
    }
    return jsonResponse(http::status::not_found, Json::object());
}

PlatformStore::Json PlatformStore::rowsOf(const std::string &table, uint64_t after, const std::string &startKey) const
{
    Json rows = Json::array();
    for (const auto &[key, row] : m_rows) {
        if (key.first == table && row.version > after && key.second >= startKey) {
            rows.push_back({ { "table_name", table }, { "part", "" }, { "key", key.second }, { "value", row.value }, { "ver", row.version } });
        }
    }
    return rows;
}

Response PlatformStore::get(const std::string &target)
{
    const std::scoped_lock lock(m_mutex);
    const Json rows = rowsOf(queryParameter(target, "table_name"), 0, queryParameter(target, "start_key"));
    return jsonResponse(http::status::ok, { { "rows", rows }, { "has_more", false }, { "ver", m_version }, { "now_ms", m_record.elapsedMs() } });
}

std::optional<Response> PlatformStore::feed(const std::string &target)
{
    const std::string table = queryParameter(target, "table_name");
    const uint64_t after = std::stoull(queryParameter(target, "after"));
    const Milliseconds wait(std::stoi(queryParameter(target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_isStopping || !rowsOf(table, after, "").empty(); });
    if (isSilent()) {
        m_record.write("store: the answer to a rows-feed of " + table + " is lost");
        return std::nullopt;
    }
    return jsonResponse(http::status::ok, { { "rows", rowsOf(table, after, "") }, { "ver", m_version }, { "now_ms", m_record.elapsedMs() } });
}

std::optional<Response> PlatformStore::transact(const Json &change)
{
    std::unique_lock lock(m_mutex);
    ++m_writes;
    const std::string key = change.at("puts").empty() ? "" : change["puts"][0].at("key").get<std::string>();
    if (key.empty() || key != m_keyOfLostWrite) {
        const Response response = apply(change);
        m_record.write("store: write of row " + key + " answered " + std::to_string(response.result_int()));
        return response;
    }
    ++m_lostWrites;
    m_keyOfLostWrite.clear();
    m_record.write("store: write of row " + key + " gets no answer; it is performed in " + std::to_string(m_lostWriteDelay.count()) + " ms");
    m_lateWrites.emplace_back([this, key, change, delay = m_lostWriteDelay] {
        std::unique_lock lateLock(m_mutex);
        if (!m_changed.wait_for(lateLock, delay, [this] { return m_isStopping; })) {
            const Response response = apply(change);
            m_record.write("store: late write of row " + key + (response.result() == http::status::ok ? " applied" : " dropped, its condition doesn't hold"));
        }
    });
    return std::nullopt;
}

Response PlatformStore::apply(const Json &change)
{
    Json current = Json::array();
    bool holds = true;
    for (const Json &condition : change.at("precondition")) {
        const auto found = m_rows.find({ condition.at("table_name"), condition.at("key") });
        const uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == condition.at("ver").get<uint64_t>();
        if (found != m_rows.end()) {
            current.push_back(
                { { "table_name", found->first.first }, { "part", "" }, { "key", found->first.second }, { "value", found->second.value }, { "ver", version } });
        }
    }
    if (!holds) {
        return jsonResponse(http::status::precondition_failed, { { "rows", current }, { "ver", m_version }, { "now_ms", m_record.elapsedMs() } });
    }
    ++m_version;
    for (const Json &row : change.at("puts")) {
        m_rows[{ row.at("table_name"), row.at("key") }] = { row.at("value"), m_version };
    }
    for (const Json &row : change.at("remove")) {
        m_rows.erase({ row.at("table_name"), row.at("key") });
    }
    m_changed.notify_all();
    return jsonResponse(http::status::ok, { { "ver", m_version }, { "now_ms", m_record.elapsedMs() } });
}

} // namespace carobjunction::review
