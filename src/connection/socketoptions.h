#pragma once

#include "connection/asio.h"

namespace carobjunction
{

/** Makes the kernel give up a connection whose other end went silent, and sends small messages at once. */
void setLivenessOptions(Tcp::socket &socket);

/** @return whether an idle connection is still open and has no bytes to read */
bool isIdleAndOpen(Tcp::socket &socket);

/** @return whether the socket has bytes that were not read yet; false at the end of the stream */
bool hasBytesToRead(Tcp::socket &socket);

/** @return whether the other end has closed the connection, or reset it */
bool isClosedByPeer(Tcp::socket &socket);

} // namespace carobjunction
