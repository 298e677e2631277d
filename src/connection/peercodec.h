#pragma once

#include <carobjunction/process/enumnames.h>

#include "request/forwarding.h"

#include <optional>

namespace carobjunction
{

/** Part of the state that a daemon queries from another daemon. The parts limit the traffic between data centres, which is billed by volume. */
enum class StatePart {
    All, /**< Routes and all VM records. */
    Routes,
    OwnRecord, /**< The record of the VM of the queried daemon. */
    HeldRecord, /**< The record of the VM that PeerCodec::DaemonField names, as the queried daemon holds it. */
};

/** Request paths of the state queries between daemons. */
template<>
struct EnumNames<StatePart> {
    static constexpr std::pair<StatePart, std::string_view> Table[] = {
        { StatePart::All, "/carobjunction/state" },
        { StatePart::Routes, "/carobjunction/routes" },
        { StatePart::OwnRecord, "/carobjunction/record" },
        { StatePart::HeldRecord, "/carobjunction/held-record" },
    };
};

/**
 * Encodes and decodes the messages between the entry daemon and the daemon on the VM of a target: the caller's request with an additional
 * header field, and the backend server's response with an additional header field. Both fields contain JSON.
 */
class PeerCodec
{
public:
    /** Header field of a forwarded request. Removed from the requests of callers. */
    static constexpr const char *RequestField = "Carob-Forward";
    /** Header field of the response to a forwarded request. */
    static constexpr const char *ResultField = "Carob-Result";

    /** Header field of a query for StatePart::HeldRecord: the daemon whose record is queried. */
    static constexpr const char *DaemonField = "Carob-Daemon";

    static HttpRequest encode(ForwardRequest request, TimePoint now);

    /** @return the request, or empty if the header field is absent or malformed */
    static std::optional<ForwardRequest> decode(HttpRequest message, TimePoint now);

    static HttpResponse encode(ForwardResult result);

    /** @return the result, or empty if the header field is absent or malformed */
    static std::optional<ForwardResult> decode(HttpResponse message);

    /** @return the number of the call that @p message responds to, or empty if the response is malformed or comes from an older daemon, which sends none */
    static std::optional<uint64_t> callNumber(const HttpResponse &message);

    /** @return whether the message is the response to a forwarded request */
    static bool isForwardResult(const HttpResponse &message);
};

} // namespace carobjunction
