#pragma once

#include <string>

namespace carobjunction
{

/** A response in one of the forms in which a server frames it. */
struct Framing {
    std::string name;
    std::string head;
    std::string body;

    std::string whole() const
    {
        return head + body;
    }
};

/** The framings of the body "whole" and of an empty body. */
struct Framings {
    /** @param idField  header field with the id of the request, including its line end */
    explicit Framings(const std::string &idField)
    {
        const std::string start = "HTTP/1.1 200 OK\r\n" + idField;
        withLength = { "with length", start + "Content-Length: 5\r\n\r\n", "whole" };
        chunked = { "chunked", start + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n" };
        untilClose = { "until close", start + "\r\n", "whole" };
        empty = { "empty", start + "Content-Length: 0\r\n\r\n", "" };
    }

    Framing withLength;
    Framing chunked;
    Framing untilClose; /**< The end of the connection ends the body. */
    Framing empty;
};

/** How a server ends a connection after a part of a response. */
enum class ConnectionEnd {
    Close, /**< Orderly close. */
    Reset, /**< Reset of the connection. */
};

} // namespace carobjunction
