#pragma once

#include "request/forwarding.h"

#include <optional>

namespace carobjunction
{

/**
 * Message between the entry daemon and the daemon beside a target: the caller's request with one more header field, and the
 * backend server's answer with one more header field. Both fields hold JSON.
 */
class PeerCodec
{
public:
    /** Path of the call for all that a daemon knows: routes and VM records. */
    static constexpr const char *StatePath = "/carobjunction/state";
    /** Path of the call for the record of the daemon's own VM. */
    static constexpr const char *RecordPath = "/carobjunction/record";
    /** Field of a forwarded request. Removed from what callers send. */
    static constexpr const char *RequestField = "Carob-Forward";
    /** Field of the answer to a forwarded request. */
    static constexpr const char *ResultField = "Carob-Result";

    static HttpRequest encode(const ForwardRequest &request, TimePoint now);

    /** @return the request, or empty if the field is absent or can't be read */
    static std::optional<ForwardRequest> decode(HttpRequest message, TimePoint now);

    static HttpResponse encode(ForwardResult result);

    /** @return the result, or empty if the field is absent or can't be read */
    static std::optional<ForwardResult> decode(HttpResponse message);
};

} // namespace carobjunction
