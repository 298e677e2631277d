#pragma once

#include "connection/asio.h"

#include <string>

namespace carobjunction
{

/** Removes the fields that concern only one connection, those named by the Connection field included. */
void removeConnectionFields(http::fields &fields);

/** @return the field as text, empty if it is absent */
std::string fieldText(const http::fields &fields, const std::string &name);

/** @return whether the field is present */
bool hasField(const http::fields &fields, const std::string &name);

/** @return an answer of our own with a short text that says why */
HttpResponse ownAnswer(http::status status, const std::string &text);

} // namespace carobjunction
