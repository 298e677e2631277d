#include "loadgenerator.h"

#include "../tools/standin-backend/responsebody.h"

#include <algorithm>
#include <utility>

namespace carobjunction::bench
{

namespace
{

constexpr auto ResendDelay = std::chrono::milliseconds(100);
// The daemon responds by the deadline. The caller's timeout is longer, so that it still receives this response.
constexpr auto AnswerMargin = std::chrono::milliseconds(1000);

std::vector<std::unique_ptr<ConnectionPool>> makePools(const std::vector<std::string> &addresses, Duration deadline)
{
    std::vector<std::unique_ptr<ConnectionPool>> pools;
    pools.reserve(addresses.size());
    for (const std::string &address : addresses) {
        pools.push_back(std::make_unique<ConnectionPool>(address, std::chrono::duration_cast<std::chrono::milliseconds>(deadline) + AnswerMargin));
    }
    return pools;
}

} // namespace

LoadGenerator::LoadGenerator(const Experiment &experiment, const Endpoints &endpoints, TargetOracle &oracle, Duration regionDelay, std::string runId)
    : m_experiment(experiment)
    , m_endpoints(endpoints)
    , m_oracle(oracle)
    , m_regionDelay(regionDelay)
    , m_runId(std::move(runId))
    , m_daemonPools(makePools(endpoints.daemons, experiment.deadline))
    , m_backendPools(makePools(endpoints.backends, experiment.deadline))
    , m_barePools(makePools(endpoints.bareAddresses, experiment.deadline))
{
}

LoadGenerator::~LoadGenerator()
{
    stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void LoadGenerator::start(const std::vector<PlannedCall> &plan)
{
    m_samples.resize(plan.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        m_samples[i].plan = plan[i];
    }
    m_startedAt = std::chrono::steady_clock::now();
    const std::size_t senders = std::min(m_experiment.senders, plan.size());
    for (std::size_t i = 0; i < senders; ++i) {
        m_threads.emplace_back([this] { runSender(); });
    }
}

std::vector<Sample> LoadGenerator::waitForSamples()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return std::move(m_samples);
}

std::string LoadGenerator::makeRequestPath(const CallKind &kind, std::size_t call)
{
    return kind.path + "?call=" + std::to_string(call) + "&bytes=" + std::to_string(kind.answerBytes);
}

void LoadGenerator::runSender()
{
    for (std::size_t index = m_nextCall++; index < m_samples.size(); index = m_nextCall++) {
        Sample &sample = m_samples[index];
        std::this_thread::sleep_until(m_startedAt + sample.plan.at);
        if (!m_isStopping) {
            sample.sent = std::chrono::steady_clock::now() - m_startedAt;
            send(index, sample);
            sample.completed = std::chrono::steady_clock::now() - m_startedAt;
        }
        ++m_finishedCalls;
    }
}

void LoadGenerator::send(std::size_t index, Sample &sample)
{
    if (m_experiment.variants[sample.plan.variant].policy == "oracle") {
        sendToOracleTarget(index, sample);
        return;
    }
    const CallKind &kind = m_experiment.calls[sample.plan.kind];
    std::size_t daemonsTried = 0;
    for (uint32_t resends = 0; !sendOnce(index, sample, selectPool(sample, daemonsTried)) && !m_isStopping;) {
        ++daemonsTried;
        // If the connection is refused, nothing was sent, so the caller tries the next daemon immediately. After any other failure the call may have run,
        // so a new attempt counts as a resend.
        if (sample.reason == "Connection") {
            if (daemonsTried >= m_daemonPools.size()) {
                return;
            }
            continue;
        }
        const bool mayResend = kind.keyed || kind.idempotent;
        if (!mayResend || resends++ >= m_experiment.resends) {
            return;
        }
        std::this_thread::sleep_for(ResendDelay);
    }
}

void LoadGenerator::sendToOracleTarget(std::size_t index, Sample &sample)
{
    const std::string &region = m_endpoints.regions[sample.plan.entry];
    const double crossRegionDelayMs = 2 * std::chrono::duration<double, std::milli>(m_regionDelay).count();
    const std::size_t target = m_oracle.assignTarget(m_experiment.calls[sample.plan.kind].service, region, crossRegionDelayMs);
    const Duration delay = m_endpoints.regions[target] == region ? Duration::zero() : m_regionDelay;
    std::this_thread::sleep_for(delay);
    sendOnce(index, sample, *m_daemonPools[target]);
    m_oracle.recordCompletion(target);
    std::this_thread::sleep_for(delay);
}

ConnectionPool &LoadGenerator::selectPool(const Sample &sample, std::size_t attempt)
{
    switch (m_experiment.variants[sample.plan.variant].path) {
    case CallPath::Direct:
        return *m_backendPools[sample.plan.entry];
    case CallPath::Bare:
        return *m_barePools[sample.plan.entry];
    case CallPath::Routed:
    case CallPath::OneHop:
    case CallPath::TwoHops:
        break;
    }
    return *m_daemonPools[(sample.plan.entry + attempt) % m_daemonPools.size()];
}

bool LoadGenerator::sendOnce(std::size_t index, Sample &sample, ConnectionPool &pool)
{
    const CallKind &kind = m_experiment.calls[sample.plan.kind];
    ConnectionPool::Connection client = pool.acquire();
    httplib::Request request;
    request.method = kind.method;
    request.path = makeRequestPath(kind, index);
    request.headers = makeHeaders(index, sample);
    request.body = kind.body;
    const httplib::Result result = client->send(request);
    ++sample.sendCount;
    if (!result) {
        client.discard();
        sample.status = 0;
        sample.outcome.clear();
        sample.reason = httplib::to_string(result.error());
        return false;
    }
    recordResponse(*result, sample);
    // The recorded response of an earlier attempt contains the request ID of that attempt, which the caller never received, so it is not verified.
    const bool isRecorded = sample.reason == "already-ran";
    sample.hasWrongAnswer = sample.isSuccessful() && !isRecorded && result->body != standin::makeResponseBody(sample.requestId, kind.answerBytes);
    return true;
}

httplib::Headers LoadGenerator::makeHeaders(std::size_t index, const Sample &sample) const
{
    const CallKind &kind = m_experiment.calls[sample.plan.kind];
    httplib::Headers headers {
        { "Carob-Service", kind.service },
        { "Carob-Deadline-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_experiment.deadline).count()) },
    };
    if (kind.keyed) {
        headers.emplace("Idempotency-Key", m_runId + "-" + std::to_string(index));
    }
    const CallPath path = m_experiment.variants[sample.plan.variant].path;
    if (path == CallPath::Direct || path == CallPath::Bare) {
        headers.emplace("Carob-Request-Id", "bench-" + m_runId + "-" + std::to_string(index));
    }
    return headers;
}

void LoadGenerator::recordResponse(const httplib::Response &response, Sample &sample) const
{
    sample.status = response.status;
    sample.outcome = response.get_header_value("Carob-Outcome");
    sample.reason = response.get_header_value("Carob-Reason");
    sample.requestId = response.get_header_value("Carob-Request-Id");
    const auto target = m_endpoints.targetByDaemonId.find(response.get_header_value("Carob-Target"));
    sample.target = target == m_endpoints.targetByDaemonId.end() ? -1 : target->second;
}

} // namespace carobjunction::bench
