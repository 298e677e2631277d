#pragma once

#include <carobjunction/request/callrequest.h>
#include <carobjunction/request/callresult.h>

#include <peer.pb.h>

namespace carobjunction
{

/** @return the load report as a message */
v1::LoadReport toMessage(const LoadReport &report);

/** @return the load report of a message */
LoadReport fromMessage(const v1::LoadReport &message);

/** @return the message of a call's result */
v1::DispatchResponse toMessage(const std::string &requestId, const CallResult &result);

/** @return the result in a message; Unknown if the message has no valid outcome */
CallResult fromMessage(v1::DispatchResponse &&message);

/**
 * @param request  request to send
 * @param remaining  time left for the receiver
 */
v1::DispatchRequest toMessage(const CallRequest &request, Duration remaining);

/**
 * @param now  time of arrival, from which the remaining time counts
 * @return the request in a message
 */
CallRequest fromMessage(const v1::DispatchRequest &message, TimePoint now);

} // namespace carobjunction
