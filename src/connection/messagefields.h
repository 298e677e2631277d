#pragma once

#include "connection/asio.h"

#include <string>

namespace carobjunction
{

/** Removes the hop-by-hop fields, including those listed in the Connection field. */
void removeHopByHopFields(http::fields &fields);

/** @return the value of the field, or an empty string if it is absent */
std::string fieldValue(const http::fields &fields, const std::string &name);

/** @return whether the field is present */
bool hasField(const http::fields &fields, const std::string &name);

/** @return a response with a plain-text body, which ends with a line feed */
HttpResponse textResponse(http::status status, const std::string &text);

} // namespace carobjunction
