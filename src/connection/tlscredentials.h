#pragma once

#include "process/settings.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>

namespace carobjunction
{

/** Credentials for the connections between daemons. gRPC reloads certificate files that change. */
class TlsCredentials
{
public:
    /**
     * @param security  PeerSecurity::Plaintext only if the settings request it explicitly
     * @param files  certificate, private key and CA certificate, used with PeerSecurity::MutualTls
     */
    TlsCredentials(PeerSecurity security, const TlsFiles &files);

    /** @return the credentials for outgoing connections */
    std::shared_ptr<grpc::ChannelCredentials> channel() const;

    /** @return the credentials of the peer port, which rejects clients without a certificate signed by the CA */
    std::shared_ptr<grpc::ServerCredentials> server() const;

private:
    PeerSecurity m_security;
    TlsFiles m_files;
};

} // namespace carobjunction
