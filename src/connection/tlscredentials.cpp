#include "connection/tlscredentials.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace carobjunction
{

namespace
{

constexpr unsigned int CertificateRefreshSeconds = 10;

std::shared_ptr<grpc::experimental::CertificateProviderInterface> makeProvider(const TlsFiles &files)
{
    return std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(files.key, files.certificate, files.authority, CertificateRefreshSeconds);
}

} // namespace

TlsCredentials::TlsCredentials(PeerSecurity security, const TlsFiles &files) : m_security(security), m_files(files)
{
}

std::shared_ptr<grpc::ChannelCredentials> TlsCredentials::channel() const
{
    if (m_security == PeerSecurity::Plaintext) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::experimental::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(makeProvider(m_files));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    // Verifies the certificate chain but not the host name, because VMs are addressed by IP and may be replaced at any time.
    options.set_certificate_verifier(std::make_shared<grpc::experimental::NoOpCertificateVerifier>());
    options.set_check_call_host(false);
    return grpc::experimental::TlsCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> TlsCredentials::server() const
{
    if (m_security == PeerSecurity::Plaintext) {
        return grpc::InsecureServerCredentials();
    }
    grpc::experimental::TlsServerCredentialsOptions options(makeProvider(m_files));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.set_certificate_verifier(std::make_shared<grpc::experimental::NoOpCertificateVerifier>());
    return grpc::experimental::TlsServerCredentials(options);
}

} // namespace carobjunction
