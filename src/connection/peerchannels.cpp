#include "connection/peerchannels.h"

#include "connection/protocolconversion.h"
#include "connection/tlscredentials.h"
#include "process/eventlog.h"
#include "process/metrics.h"

#include <grpcpp/create_channel.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace carobjunction
{

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout(250);
constexpr int InitialReconnectDelayMs = 100;
constexpr int MaxReconnectDelayMs = 1000;
constexpr int KeepaliveTimeMs = 10'000;
constexpr int KeepaliveTimeoutMs = 3'000;
constexpr std::chrono::seconds IdleTimeout(60);
constexpr int MessageOverheadBytes = 256 * 1024;

std::chrono::system_clock::time_point grpcDeadline(Duration remaining)
{
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::system_clock::duration>(remaining);
}

CallResult peerUnreachableResult()
{
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.reason = Reason::PeerUnreachable;
    return result;
}

/** One Dispatch call to another daemon. */
class DispatchCall : public PeerCall, public std::enable_shared_from_this<DispatchCall>
{
public:
    DispatchCall(v1::DispatchRequest request, PeerChannels::Completion completion, Metrics &metrics, std::atomic<uint32_t> &activeDispatches)
        : m_request(std::move(request)), m_completion(std::move(completion)), m_metrics(metrics), m_activeDispatches(activeDispatches)
    {
        ++m_activeDispatches;
    }

    void start(v1::Peer::Stub &stub, Duration remaining)
    {
        m_context.set_deadline(grpcDeadline(remaining));
        // The callback owns the call, so that it exists until gRPC reports its response or error.
        stub.async()->Dispatch(&m_context, &m_request, &m_response, [self = shared_from_this()](const grpc::Status &status) { self->finish(status); });
    }

    void cancel() override
    {
        m_context.TryCancel();
    }

private:
    void finish(const grpc::Status &status)
    {
        m_completion(toResult(status));
        m_completion = nullptr;
        --m_activeDispatches;
    }

    CallResult toResult(const grpc::Status &status)
    {
        CallResult result;
        result.outcome = Outcome::Unknown;
        if (!status.ok()) {
            const bool isDeadlineReached = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED || status.error_code() == grpc::StatusCode::CANCELLED;
            result.reason = isDeadlineReached ? Reason::DeadlineExceeded : Reason::AnswerLost;
            if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
                result.reason = Reason::AnswerTooLarge;
            }
            return result;
        }
        if (m_response.request_id() != m_request.request_id()) {
            m_metrics.add(Counter::AnswersDiscarded);
            EventLog::write(LogLevel::Error, Event::AnswerDiscarded, { { "request", m_request.request_id() }, { "answer_for", m_response.request_id() } });
            result.reason = Reason::AnswerLost;
            return result;
        }
        return fromMessage(std::move(m_response));
    }

    grpc::ClientContext m_context;
    v1::DispatchRequest m_request;
    v1::DispatchResponse m_response;
    PeerChannels::Completion m_completion;
    Metrics &m_metrics;
    std::atomic<uint32_t> &m_activeDispatches;
};

} // namespace

struct PeerChannels::Channel {
    std::shared_ptr<grpc::Channel> connection;
    std::unique_ptr<v1::Peer::Stub> stub;
    std::atomic<TimePoint> lastUsedAt;
};

PeerChannels::PeerChannels(const TlsCredentials &credentials, Metrics &metrics, uint64_t maxBodyBytes)
    : m_credentials(credentials), m_metrics(metrics), m_maxBodyBytes(maxBodyBytes)
{
}

PeerChannels::~PeerChannels() = default;

std::shared_ptr<PeerCall>
PeerChannels::dispatch(const std::string &address, v1::DispatchRequest request, Deadline deadline, Duration networkTime, Completion completion)
{
    const std::shared_ptr<Channel> peer = channel(address);
    if (!waitUntilConnected(*peer, deadline)) {
        completion(peerUnreachableResult());
        return nullptr;
    }
    const Duration remaining = deadline.remaining(SteadyClock().now());
    const Duration peerTime = std::max<Duration>(remaining - networkTime, Duration::zero());
    request.set_remaining_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(peerTime).count()));
    const auto call = std::make_shared<DispatchCall>(std::move(request), std::move(completion), m_metrics, m_activeDispatchCount);
    call->start(*peer->stub, remaining);
    return call;
}

std::optional<LoadReport> PeerChannels::probe(const std::string &address, const std::string &service, Duration timeout)
{
    grpc::ClientContext context;
    context.set_deadline(grpcDeadline(timeout));
    v1::ProbeRequest request;
    request.set_service(service);
    v1::LoadReport response;
    if (!channel(address)->stub->Probe(&context, request, &response).ok()) {
        return std::nullopt;
    }
    return fromMessage(response);
}

std::optional<v1::ExchangeResponse> PeerChannels::exchange(const std::string &address, const v1::ExchangeRequest &request, Duration timeout)
{
    grpc::ClientContext context;
    context.set_deadline(grpcDeadline(timeout));
    v1::ExchangeResponse response;
    m_metrics.add(Counter::GossipBytesSent, request.ByteSizeLong());
    if (!channel(address)->stub->Exchange(&context, request, &response).ok()) {
        return std::nullopt;
    }
    m_metrics.add(Counter::GossipBytesReceived, response.ByteSizeLong());
    return response;
}

std::optional<bool> PeerChannels::indirectProbe(const std::string &address, const v1::IndirectProbeRequest &request, Duration timeout)
{
    grpc::ClientContext context;
    context.set_deadline(grpcDeadline(timeout));
    v1::IndirectProbeResponse response;
    m_metrics.add(Counter::GossipBytesSent, request.ByteSizeLong());
    if (!channel(address)->stub->IndirectProbe(&context, request, &response).ok()) {
        return std::nullopt;
    }
    return response.reachable();
}

std::optional<v1::InForceResponse> PeerChannels::inForce(const std::string &address, const v1::InForceRequest &request, Duration timeout)
{
    grpc::ClientContext context;
    context.set_deadline(grpcDeadline(timeout));
    v1::InForceResponse response;
    if (!channel(address)->stub->InForce(&context, request, &response).ok()) {
        return std::nullopt;
    }
    return response;
}

bool PeerChannels::waitUntilIdle(Duration limit)
{
    constexpr std::chrono::milliseconds CheckInterval(1);
    const TimePoint end = SteadyClock().now() + limit;
    while (m_activeDispatchCount > 0 && SteadyClock().now() < end) {
        std::this_thread::sleep_for(CheckInterval);
    }
    return m_activeDispatchCount == 0;
}

void PeerChannels::closeIdle()
{
    const TimePoint now = SteadyClock().now();
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_channels, [now](const auto &entry) { return now - entry.second->lastUsedAt.load() > IdleTimeout; });
}

std::shared_ptr<PeerChannels::Channel> PeerChannels::channel(const std::string &address)
{
    const std::scoped_lock lock(m_mutex);
    std::shared_ptr<Channel> &entry = m_channels[address];
    if (!entry) {
        grpc::ChannelArguments arguments;
        // gRPC must not retry a request itself, because the daemon guarantees at-most-once execution.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectDelayMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, InitialReconnectDelayMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectDelayMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveTimeMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
        // Proxy settings in the environment do not apply to connections between daemons.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        // Gives each daemon its own connections when a test runs several daemons in one process.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        const int maxMessageBytes = static_cast<int>(m_maxBodyBytes) + MessageOverheadBytes;
        arguments.SetMaxReceiveMessageSize(maxMessageBytes);
        arguments.SetMaxSendMessageSize(maxMessageBytes);
        entry = std::make_shared<Channel>();
        entry->connection = grpc::CreateCustomChannel(address, m_credentials.channel(), arguments);
        entry->stub = v1::Peer::NewStub(entry->connection);
    }
    entry->lastUsedAt = SteadyClock().now();
    return entry;
}

bool PeerChannels::waitUntilConnected(Channel &channel, Deadline deadline) const
{
    const Duration wait = std::min<Duration>(ConnectTimeout, deadline.remaining(SteadyClock().now()));
    const auto until = grpcDeadline(wait);
    grpc_connectivity_state state = channel.connection->GetState(true);
    while (state != GRPC_CHANNEL_READY) {
        if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN || !channel.connection->WaitForStateChange(state, until)) {
            return false;
        }
        state = channel.connection->GetState(true);
    }
    return true;
}

} // namespace carobjunction
