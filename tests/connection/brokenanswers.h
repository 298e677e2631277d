#pragma once

#include "connection/brokenanswerserver.h"

#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace carobjunction
{

/** An answer that is not well-formed, or not complete. */
struct BrokenAnswer {
    std::string defect;
    RawAnswer answer;
};

/**
 * @param fields  further header fields, each with its line end
 * @param body  body of the answers that a lenient reader would accept
 * @return answers with status 200, unless the status is their defect
 */
inline std::vector<BrokenAnswer> brokenAnswers(const std::string &fields, const std::string &body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
    std::ostringstream chunkSize;
    chunkSize << std::hex << body.size();
    const std::string chunks = chunkSize.str() + "\r\n" + body + "\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> answers {
        { "status zero", { "HTTP/1.1 000 Trouble\r\n" + fields + length + "\r\n" + body } },
        { "status beyond 599", { "HTTP/1.1 600 Trouble\r\n" + fields + length + "\r\n" + body } },
        { "status of four digits", { "HTTP/1.1 2000 OK\r\n" + fields + length + "\r\n" + body } },
        { "no status line", { fields + length + "\r\n" + body, ConnectionEnd::Close } },
        { "blank as the first byte of a name", { start + length + " rder: 1\r\n\r\n" + body } },
        { "tab as the first byte of a name", { start + length + "\trder: 1\r\n\r\n" + body } },
        { "blank in a name", { start + "Or er: 1\r\n" + length + "\r\n" + body } },
        { "blank before the colon", { start + "Order : 1\r\n" + length + "\r\n" + body } },
        { "control byte in a name", { start + length + "Or\x01\x65r: 1\r\n\r\n" + body } },
        { "control byte in a value", { start + length + "Order: \x01\r\n\r\n" + body } },
        { "garbled name of the length", { start + "A: b\r\n ontent-Length: 1\r\n\r\n" + body, ConnectionEnd::Close } },
        { "blank in the name of the length", { start + "Content Length: 1\r\n\r\n" + body, ConnectionEnd::Close } },
        { "garbled name of the coding", { start + "A: b\r\n\transfer-Encoding: chunked\r\n\r\n" + body, ConnectionEnd::Close } },
        { "coding beside a length", { start + length + "Transfer-Encoding: chunked\r\n\r\n" + chunks } },
        { "repeated coding", { start + "Transfer-Encoding: chunked, chunked\r\n\r\n" + body, ConnectionEnd::Close } },
        { "unknown coding", { start + "Transfer-Encoding: identity\r\n\r\n" + body, ConnectionEnd::Close } },
        { "different lengths", { start + length + "Content-Length: 1\r\n\r\n" + body } },
        { "length that is no number", { start + "Content-Length: 1x\r\n\r\n" + body, ConnectionEnd::Close } },
        { "body shorter than its length", { start + length + "\r\n" + body.substr(1), ConnectionEnd::Close } },
        { "body without a length, reset", { start + "\r\n" + body, ConnectionEnd::Reset, RawAnswer::WholeUpload, 0, std::chrono::milliseconds(20) } },
        { "chunk without an end", { start + "Transfer-Encoding: chunked\r\n\r\n" + chunks.substr(0, chunks.size() - 5), ConnectionEnd::Close } },
        { "end of the connection in the head", { start, ConnectionEnd::Close } },
    };
    for (BrokenAnswer &broken : answers) {
        broken.answer.endsUse = true;
    }
    return answers;
}

/** BrokenAnswerServer on a thread of its own, for clients that block. */
class RunningBrokenAnswerServer
{
public:
    explicit RunningBrokenAnswerServer(BrokenAnswerServer::AnswerFunction answer) : m_server(m_loop, std::move(answer)), m_thread([this] { m_loop.run(); })
    {
    }

    ~RunningBrokenAnswerServer()
    {
        m_loop.stop();
        m_thread.join();
    }

    RunningBrokenAnswerServer(const RunningBrokenAnswerServer &) = delete;
    RunningBrokenAnswerServer &operator=(const RunningBrokenAnswerServer &) = delete;

    int misusedConnections() const
    {
        return m_server.misusedConnections;
    }

    uint16_t port() const
    {
        return m_server.address().port();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port());
    }

private:
    asio::io_context m_loop { 1 };
    BrokenAnswerServer m_server;
    std::thread m_thread;
};

} // namespace carobjunction
