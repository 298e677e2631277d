#pragma once

#include <peer.grpc.pb.h>

#include <grpcpp/server.h>

#include <functional>
#include <memory>
#include <string>

namespace carobjunction
{

class AdmissionService;
class TlsCredentials;
class WorkerPool;

/** Handlers of the gossip calls on the peer port. */
struct GossipHandlers {
    std::function<v1::ExchangeResponse(const v1::ExchangeRequest &)> exchange;
    std::function<v1::IndirectProbeResponse(const v1::IndirectProbeRequest &)> indirectProbe; /**< May block. */
    std::function<v1::InForceResponse(const v1::InForceRequest &)> inForce;
};

/** gRPC server on the peer port. */
class PeerServer
{
public:
    PeerServer(AdmissionService &admission, WorkerPool &workers, GossipHandlers gossip, uint64_t maxBodyBytes);
    ~PeerServer();

    /**
     * Opens the port.
     * @param address  `ip:port`; with port 0, the system chooses a free one
     * @return the port, or 0 if it could not be opened
     */
    int start(const std::string &address, const TlsCredentials &credentials);

    /** Closes the port, and cancels the requests that are still in progress after @p grace. */
    void stop(std::chrono::milliseconds grace);

private:
    class Service;

    std::unique_ptr<Service> m_service;
    std::unique_ptr<grpc::Server> m_server;
    const uint64_t m_maxBodyBytes;
};

} // namespace carobjunction
