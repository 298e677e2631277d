#include "versionmonitor.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace carobjunction::scenarios
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(20);
// Short, so that a paused daemon does not delay polling of the others.
constexpr auto QueryTimeout = std::chrono::milliseconds(200);

} // namespace

VersionMonitor::VersionMonitor(std::vector<std::string> daemons)
    : m_operatorAddresses(std::move(daemons))
    , m_processGenerations(m_operatorAddresses.size())
    , m_highestVersions(m_operatorAddresses.size())
    , m_thread([this] { pollDaemons(); })
{
}

VersionMonitor::~VersionMonitor()
{
    stop();
}

void VersionMonitor::resetDaemon(std::size_t daemon)
{
    const std::lock_guard lock(m_mutex);
    ++m_processGenerations[daemon];
    m_highestVersions[daemon].clear();
}

std::vector<std::string> VersionMonitor::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_reversions;
}

std::map<std::string, uint64_t> VersionMonitor::readVersions(const std::string &operatorAddress)
{
    httplib::Client client("http://" + operatorAddress);
    client.set_connection_timeout(QueryTimeout);
    client.set_read_timeout(QueryTimeout);
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

void VersionMonitor::pollDaemons()
{
    while (!m_isStopping) {
        for (std::size_t daemon = 0; daemon < m_operatorAddresses.size() && !m_isStopping; ++daemon) {
            checkDaemon(daemon);
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void VersionMonitor::checkDaemon(std::size_t daemon)
{
    uint64_t processGeneration = 0;
    {
        const std::lock_guard lock(m_mutex);
        processGeneration = m_processGenerations[daemon];
    }
    const std::map<std::string, uint64_t> versions = readVersions(m_operatorAddresses[daemon]);
    const std::lock_guard lock(m_mutex);
    if (processGeneration != m_processGenerations[daemon]) {
        return;
    }
    for (const auto &[service, version] : versions) {
        uint64_t &highest = m_highestVersions[daemon][service];
        if (version < highest) {
            m_reversions.push_back("daemon " + std::to_string(daemon) + " reverted from version " + std::to_string(highest) + " of " + service + " to "
                                   + std::to_string(version));
        }
        highest = std::max(highest, version);
    }
}

} // namespace carobjunction::scenarios
