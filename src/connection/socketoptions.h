#pragma once

#include "connection/asio.h"

namespace carobjunction
{

/** Makes the kernel give up a connection whose other end went silent, and sends small messages at once. */
void setTcpOptions(Tcp::socket &socket);

/** @return whether an idle connection is still open and has no bytes to read */
bool isOpenWithoutData(Tcp::socket &socket);

/** @return whether the socket has bytes that were not read yet; false at the end of the stream */
bool hasUnreadBytes(Tcp::socket &socket);

/**
 * A caller that has ended only its sending side can't be told from one that has closed: both show as the end of the stream.
 * @return whether the other end has ended its stream or reset the connection, or the network has given it up
 */
bool isClosedByPeer(Tcp::socket &socket);

/** @return whether an error of the connection is pending, such as a reset after a write. Takes the error from the socket */
bool takePendingError(Tcp::socket &socket);

} // namespace carobjunction
