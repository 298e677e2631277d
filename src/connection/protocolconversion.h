#pragma once

#include <carobjunction/request/callrequest.h>
#include <carobjunction/request/callresult.h>

#include <peer.pb.h>

namespace carobjunction
{

/** Converts a load report to a protocol message. */
v1::LoadReport toMessage(const LoadReport &report);

/** Converts a protocol message to a load report. */
LoadReport fromMessage(const v1::LoadReport &message);

/** Converts the result of a call to a protocol message. */
v1::DispatchResponse toMessage(const std::string &requestId, const CallResult &result);

/** Converts a protocol message to the result of a call. The result is Outcome::Unknown if the message has no valid outcome. */
CallResult fromMessage(v1::DispatchResponse &&message);

/**
 * Converts a request to a protocol message.
 * @param remaining  time until the deadline at the receiver
 */
v1::DispatchRequest toMessage(const CallRequest &request, Duration remaining);

/**
 * Converts a protocol message to a request.
 * @param now  time at which the message was received; the deadline of the request is this time plus the remaining time in the message
 */
CallRequest fromMessage(const v1::DispatchRequest &message, TimePoint now);

} // namespace carobjunction
