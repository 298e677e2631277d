#pragma once

#include <carobjunction/process/enumnames.h>

#include "request/forwarding.h"

#include <optional>

namespace carobjunction
{

/** What a daemon asks another for. Routes and records can be many, and traffic between data centres is billed by volume. */
enum class StatePart {
    All, /**< Routes and all VM records. */
    Routes,
    OwnRecord, /**< The record of the other's VM. */
};

/** Paths of the calls between daemons. */
template<>
struct EnumNames<StatePart> {
    static constexpr std::pair<StatePart, std::string_view> Table[] = {
        { StatePart::All, "/carobjunction/state" },
        { StatePart::Routes, "/carobjunction/routes" },
        { StatePart::OwnRecord, "/carobjunction/record" },
    };
};

/**
 * Message between the entry daemon and the daemon beside a target: the caller's request with one more header field, and the
 * backend server's answer with one more header field. Both fields hold JSON.
 */
class PeerCodec
{
public:
    /** Field of a forwarded request. Removed from what callers send. */
    static constexpr const char *RequestField = "Carob-Forward";
    /** Field of the answer to a forwarded request. */
    static constexpr const char *ResultField = "Carob-Result";

    static HttpRequest encode(ForwardRequest request, TimePoint now);

    /** @return the request, or empty if the field is absent or can't be read */
    static std::optional<ForwardRequest> decode(HttpRequest message, TimePoint now);

    static HttpResponse encode(ForwardResult result);

    /** @return the result, or empty if the field is absent or can't be read */
    static std::optional<ForwardResult> decode(HttpResponse message);

    /** @return the number of the call that is answered; empty if the answer can't be read or comes from an older daemon, which names none */
    static std::optional<uint64_t> callNumber(const HttpResponse &message);

    /** @return whether the message answers a forwarded request */
    static bool isForwardResult(const HttpResponse &message);
};

} // namespace carobjunction
