#include "versionmonitor.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace carobjunction::scenarios
{

namespace
{

constexpr auto Interval = std::chrono::milliseconds(20);
// A paused daemon must not keep the monitor from the others.
constexpr auto AnswerLimit = std::chrono::milliseconds(200);

} // namespace

VersionMonitor::VersionMonitor(std::vector<std::string> daemons)
    : m_daemons(std::move(daemons)), m_generations(m_daemons.size()), m_highest(m_daemons.size()), m_thread([this] { watch(); })
{
}

VersionMonitor::~VersionMonitor()
{
    finish();
}

void VersionMonitor::forget(std::size_t daemon)
{
    const std::lock_guard lock(m_mutex);
    ++m_generations[daemon];
    m_highest[daemon].clear();
}

std::vector<std::string> VersionMonitor::finish()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_faults;
}

std::map<std::string, uint64_t> VersionMonitor::read(const std::string &operatorAddress)
{
    httplib::Client client("http://" + operatorAddress);
    client.set_connection_timeout(AnswerLimit);
    client.set_read_timeout(AnswerLimit);
    const auto result = client.Get("/v1/in-force");
    const auto json = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
    std::map<std::string, uint64_t> versions;
    if (json.is_object()) {
        for (const nlohmann::json &config : json.value("configs", nlohmann::json::array())) {
            versions[config.value("service", std::string())] = config.value("version", uint64_t { 0 });
        }
    }
    return versions;
}

void VersionMonitor::watch()
{
    while (!m_stopping) {
        for (std::size_t daemon = 0; daemon < m_daemons.size() && !m_stopping; ++daemon) {
            look(daemon);
        }
        std::this_thread::sleep_for(Interval);
    }
}

void VersionMonitor::look(std::size_t daemon)
{
    uint64_t generation = 0;
    {
        const std::lock_guard lock(m_mutex);
        generation = m_generations[daemon];
    }
    const std::map<std::string, uint64_t> versions = read(m_daemons[daemon]);
    const std::lock_guard lock(m_mutex);
    if (generation != m_generations[daemon]) {
        return;
    }
    for (const auto &[service, version] : versions) {
        uint64_t &highest = m_highest[daemon][service];
        if (version < highest) {
            m_faults.push_back("daemon " + std::to_string(daemon) + " went back from version " + std::to_string(highest) + " of " + service + " to "
                               + std::to_string(version));
        }
        highest = std::max(highest, version);
    }
}

} // namespace carobjunction::scenarios
