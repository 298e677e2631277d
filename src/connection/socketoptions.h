#pragma once

#include "connection/asio.h"

namespace carobjunction
{

/** Enables TCP keep-alive and a user time-out, so that the kernel closes a connection whose peer does not respond, and disables Nagle's algorithm. */
void setTcpOptions(Tcp::socket &socket);

/** @return whether a connection is open and has no unread bytes, so that it can be reused */
bool isOpenWithoutData(Tcp::socket &socket);

/** @return whether the socket has unread bytes; false at the end of the stream */
bool hasUnreadBytes(Tcp::socket &socket);

/**
 * Returns whether the connection has ended. A peer that has shut down only its sending side cannot be distinguished from one that has closed
 * the connection, because both result in the end of the stream.
 * @return whether the peer has ended its stream or reset the connection, or the connection has timed out
 */
bool isClosedByPeer(Tcp::socket &socket);

/** Reads and clears the pending error of the socket. @return whether there was one, such as a reset after a write */
bool takePendingError(Tcp::socket &socket);

} // namespace carobjunction
