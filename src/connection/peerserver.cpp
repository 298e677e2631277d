#include "connection/peerserver.h"

#include "connection/protocolconversion.h"
#include "connection/tlscredentials.h"
#include "process/admissionservice.h"
#include "process/workerpool.h"

#include <grpcpp/server_builder.h>

namespace carobjunction
{

namespace
{

constexpr int MessageOverheadBytes = 256 * 1024;
constexpr int MinPingIntervalMs = 5'000;

/** One Dispatch call. Exists until gRPC calls OnDone(), or longer if the admission session still refers to it. */
class DispatchReactor : public grpc::ServerUnaryReactor, public std::enable_shared_from_this<DispatchReactor>
{
public:
    void start(AdmissionService &admission, const v1::DispatchRequest &request, v1::DispatchResponse &response)
    {
        m_self = shared_from_this();
        m_response = &response;
        m_requestId = request.request_id();
        CallRequest call = fromMessage(request, SteadyClock().now());
        auto session = admission.submit(std::move(call), request.target_incarnation(), request.may_queue(), [self = m_self](const CallResult &result) {
            *self->m_response = toMessage(self->m_requestId, result);
            self->Finish(grpc::Status::OK);
        });
        const std::scoped_lock lock(m_mutex);
        m_session = std::move(session);
        if (m_isCancelled) {
            m_session->cancel();
        }
    }

    void OnCancel() override
    {
        std::shared_ptr<AdmissionSession> session;
        {
            const std::scoped_lock lock(m_mutex);
            m_isCancelled = true;
            session = m_session;
        }
        if (session) {
            session->cancel();
        }
    }

    void OnDone() override
    {
        const std::shared_ptr<DispatchReactor> self = std::move(m_self);
        const std::scoped_lock lock(m_mutex);
        m_session.reset();
    }

private:
    std::mutex m_mutex;
    std::shared_ptr<DispatchReactor> m_self;
    std::shared_ptr<AdmissionSession> m_session;
    v1::DispatchResponse *m_response = nullptr;
    std::string m_requestId;
    bool m_isCancelled = false;
};

} // namespace

class PeerServer::Service : public v1::Peer::CallbackService
{
public:
    Service(AdmissionService &admission, WorkerPool &workers, GossipHandlers gossip) : m_admission(admission), m_workers(workers), m_gossip(std::move(gossip))
    {
    }

    grpc::ServerUnaryReactor *Dispatch(grpc::CallbackServerContext *, const v1::DispatchRequest *request, v1::DispatchResponse *response) override
    {
        const auto reactor = std::make_shared<DispatchReactor>();
        reactor->start(m_admission, *request, *response);
        return reactor.get();
    }

    grpc::ServerUnaryReactor *Probe(grpc::CallbackServerContext *context, const v1::ProbeRequest *, v1::LoadReport *response) override
    {
        *response = toMessage(m_admission.load());
        return finish(context);
    }

    grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *context, const v1::ExchangeRequest *request, v1::ExchangeResponse *response) override
    {
        *response = m_gossip.exchange(*request);
        return finish(context);
    }

    grpc::ServerUnaryReactor *
    IndirectProbe(grpc::CallbackServerContext *context, const v1::IndirectProbeRequest *request, v1::IndirectProbeResponse *response) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        // Runs on a worker, because it waits for the other daemon and must not block a thread of gRPC.
        m_workers.run([this, reactor, request, response] {
            *response = m_gossip.indirectProbe(*request);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *InForce(grpc::CallbackServerContext *context, const v1::InForceRequest *request, v1::InForceResponse *response) override
    {
        *response = m_gossip.inForce(*request);
        return finish(context);
    }

private:
    static grpc::ServerUnaryReactor *finish(grpc::CallbackServerContext *context)
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    AdmissionService &m_admission;
    WorkerPool &m_workers;
    GossipHandlers m_gossip;
};

PeerServer::PeerServer(AdmissionService &admission, WorkerPool &workers, GossipHandlers gossip, uint64_t maxBodyBytes)
    : m_service(std::make_unique<Service>(admission, workers, std::move(gossip))), m_maxBodyBytes(maxBodyBytes)
{
}

PeerServer::~PeerServer() = default;

int PeerServer::start(const std::string &address, const TlsCredentials &credentials)
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, credentials.server(), &port);
    builder.RegisterService(m_service.get());
    builder.SetMaxReceiveMessageSize(static_cast<int>(m_maxBodyBytes) + MessageOverheadBytes);
    builder.SetMaxSendMessageSize(static_cast<int>(m_maxBodyBytes) + MessageOverheadBytes);
    // Makes a second process fail to open the port; with SO_REUSEPORT, the two would share the incoming connections.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMs);
    m_server = builder.BuildAndStart();
    return m_server ? port : 0;
}

void PeerServer::stop(std::chrono::milliseconds grace)
{
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now() + grace);
        m_server->Wait();
    }
}

} // namespace carobjunction
