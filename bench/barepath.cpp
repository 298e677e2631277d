#include "barepath.h"

#include "connectionpool.h"

#include <peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>
#include <httplib.h>

#include <sys/socket.h>

#include <iostream>
#include <memory>

namespace carobjunction::bench
{

namespace
{

constexpr std::size_t WorkerCount = 320;
// httplib listens with a backlog of 5 by default, which drops connections if many are opened in a burst.
constexpr int ListenBacklog = 512;
constexpr auto RequestTimeout = std::chrono::seconds(10);

/** Forwards each gRPC call to the backend server over HTTP. */
class OwnerService final : public v1::Peer::Service
{
public:
    explicit OwnerService(const std::string &backendAddress) : m_pool(backendAddress, RequestTimeout)
    {
    }

    grpc::Status Dispatch(grpc::ServerContext *, const v1::DispatchRequest *call, v1::DispatchResponse *response) override
    {
        httplib::Request request;
        request.method = call->method();
        request.path = call->path();
        request.body = call->body();
        request.set_header("Carob-Request-Id", call->request_id());
        ConnectionPool::Connection client = m_pool.acquire();
        const httplib::Result result = client->send(request);
        if (!result) {
            client.discard();
            return { grpc::StatusCode::UNAVAILABLE, httplib::to_string(result.error()) };
        }
        response->set_request_id(call->request_id());
        response->set_status(static_cast<uint32_t>(result->status));
        response->set_body(result->body);
        return grpc::Status::OK;
    }

private:
    ConnectionPool m_pool;
};

void forward(v1::Peer::Stub &stub, const httplib::Request &request, httplib::Response &response)
{
    v1::DispatchRequest call;
    call.set_request_id(request.get_header_value("Carob-Request-Id"));
    call.set_method(request.method);
    call.set_path(request.target);
    call.set_body(request.body);
    v1::DispatchResponse dispatchResponse;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + RequestTimeout);
    if (!stub.Dispatch(&context, call, &dispatchResponse).ok()) {
        response.status = 502;
        return;
    }
    response.status = static_cast<int>(dispatchResponse.status());
    response.set_header("Carob-Request-Id", dispatchResponse.request_id());
    response.set_content(dispatchResponse.body(), "text/plain");
}

} // namespace

int BarePath::runEntry(const std::string &ownerAddress)
{
    const auto stub = v1::Peer::NewStub(grpc::CreateChannel(ownerAddress, grpc::InsecureChannelCredentials()));
    httplib::Server server;
    int listenSocket = -1;
    server.new_task_queue = [] {
        return new httplib::ThreadPool(WorkerCount);
    };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(1U << 30U);
    server.set_socket_options([&listenSocket](socket_t socket) { listenSocket = socket; });
    const auto handler = [&stub](const httplib::Request &request, httplib::Response &response) {
        forward(*stub, request, response);
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    const int port = server.bind_to_any_port("127.0.0.1");
    if (port <= 0 || ::listen(listenSocket, ListenBacklog) != 0) {
        return 1;
    }
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

int BarePath::runOwner(const std::string &backendAddress)
{
    OwnerService owner(backendAddress);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&owner);
    const auto server = builder.BuildAndStart();
    if (!server || port <= 0) {
        return 1;
    }
    std::cout << "listening 127.0.0.1:" << port << std::endl;
    server->Wait();
    return 0;
}

} // namespace carobjunction::bench
