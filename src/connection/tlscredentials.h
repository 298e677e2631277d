#pragma once

#include "process/settings.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>

namespace carobjunction
{

/** Credentials of the connections between daemons. Changed certificate files are read again by the library. */
class TlsCredentials
{
public:
    /**
     * @param security  plaintext only if the settings say so in words
     * @param files  certificate, key and authority, used with PeerSecurity::MutualTls
     */
    TlsCredentials(PeerSecurity security, const TlsFiles &files);

    /** @return credentials of outgoing connections */
    std::shared_ptr<grpc::ChannelCredentials> channel() const;

    /** @return credentials of the peer port; a client without a certificate of the authority is refused */
    std::shared_ptr<grpc::ServerCredentials> server() const;

private:
    PeerSecurity m_security;
    TlsFiles m_files;
};

} // namespace carobjunction
