#include "platform/platformdaemonfixture.h"

#include "connection/rawanswerserver.h"

#include <set>

using namespace carobjunction;
using namespace carobjunction::platform;
using namespace std::chrono_literals;

/**
 * Backend server that refuses the first order on each connection. It runs each later order, and writes a copy of the first refusal
 * before its response. Health checks and lookups are answered correctly.
 */
class RefusalRepeatingServer
{
public:
    explicit RefusalRepeatingServer(asio::io_context &loop)
        : m_loop(loop), m_server(loop, [this](Tcp::socket &socket, HttpRequest request, RawAnswerServer::RequestPosition position) {
            return answer(socket, std::move(request), position);
        })
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.address().port());
    }

    bool repeatsCarryId = true; /**< Whether the copy of a refusal contains the id of the refused request. */
    http::status status = http::status::service_unavailable; /**< Status of refusals. */
    std::multiset<std::string> startedOrders; /**< Ids of the orders that started to run. */
    int repeatedRefusals = 0; /**< Number of copies of refusals that were written. */

private:
    /** @param id  value of the id field; the field is omitted if empty */
    std::string refusal(const std::string &id) const
    {
        return "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) + " Refused\r\n" + (id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n")
            + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    Task<void> answer(Tcp::socket &socket, HttpRequest request, RawAnswerServer::RequestPosition position)
    {
        const std::string id = fieldValue(request, "X-Attempt-Id");
        const bool isOrder = request.method() == http::verb::post;
        std::string bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal\r\nX-Server-Load: 0,0,9,100\r\nContent-Length: 2\r\n\r\nok";
        if (isOrder && m_refusedIds.count(position.connection) == 0) {
            m_refusedIds[position.connection] = id;
            bytes = refusal(id);
        } else if (isOrder) {
            startedOrders.insert(id);
            ++repeatedRefusals;
            const std::string copiedRefusal = refusal(repeatsCarryId ? m_refusedIds[position.connection] : "");
            co_await RawAnswerServer::write(socket, copiedRefusal);
            asio::steady_timer workTimer(m_loop, 20ms);
            co_await workTimer.async_wait(asio::use_awaitable);
        }
        co_await RawAnswerServer::write(socket, bytes);
    }

    asio::io_context &m_loop;
    std::map<int, std::string> m_refusedIds; /**< Id of the refused order of each connection. */
    RawAnswerServer m_server;
};

/** The backend server of the second VM repeats refusals; the backend server of the third VM is correct. */
struct RepeatedRefusalsFixture : PlatformDaemonFixture {
    RepeatedRefusalsFixture()
    {
        vms[1].daemon->kill();
        vms[1].replacementBackendAddress = repeatingServer.address();
        start(vms[1]);
        REQUIRE(waitFor([&] { return getStatus(vms[1].ready, "/v1/readyz") == 200; }));
        REQUIRE(sendHeartbeat(vms[1]) == 200);
        REQUIRE(waitForLookups());
    }

    void startSecondServer()
    {
        vms.push_back(makeVm("vm-3", "ordering"));
        start(vms.back());
        REQUIRE(waitFor([&] { return getStatus(vms.back().ready, "/v1/readyz") == 200; }));
        REQUIRE(sendHeartbeat(vms.back()) == 200);
        runFor(300ms);
    }

    size_t countRunsAtSecondServer(const std::string &id) const
    {
        size_t runs = 0;
        for (const HttpRequest &request : vms.back().backend->startedRequests) {
            runs += fieldValue(request, "X-Attempt-Id") == id ? 1 : 0;
        }
        return runs;
    }

    /** Sends @p count orders concurrently. Checks that each order ran at most once, and that no order that ran is reported as refused. */
    void sendConcurrentOrders(int count)
    {
        std::map<std::string, std::shared_ptr<std::optional<ExchangeResult>>> results;
        for (int i = 0; i < count; ++i) {
            const HttpRequest order = request(http::verb::post, "/order/" + std::to_string(lastRequest));
            results[fieldValue(order, "X-Attempt-Id")] = sendAsync(vms[0].caller, order);
        }
        for (const auto &[id, result] : results) {
            REQUIRE(waitFor([&, end = result] { return end->has_value(); }));
            const unsigned status = (*result)->response.result_int();
            const size_t runs = repeatingServer.startedOrders.count(id) + countRunsAtSecondServer(id);
            CHECK(runs <= 1);
            CHECK((runs == 0 || (status != 503 && status != 429)));
        }
    }

    RefusalRepeatingServer repeatingServer { loop };
};

TEST_CASE_METHOD(RepeatedRefusalsFixture, "RepeatedRefusals.orderThatRuns.isNotReportedAsRefused")
{
    // Guards against forwarding the refusal of an earlier order to the caller of an order that runs, which would then send it again.
    for (int i = 0; i < 10; ++i) {
        const HttpRequest order = request(http::verb::post, "/order/" + std::to_string(i));
        const unsigned status = send(vms[0].caller, order).result_int();
        const bool hasRun = repeatingServer.startedOrders.count(fieldValue(order, "X-Attempt-Id")) > 0;
        CHECK(status == (hasRun ? 200 : 503));
    }
    CHECK(repeatingServer.repeatedRefusals > 0);
}

TEST_CASE_METHOD(RepeatedRefusalsFixture, "RepeatedRefusals.repeatedWithoutId.outcomeIsUnknown")
{
    // Guards against forwarding the refusal of an earlier order to the caller of an order that runs, if the copy of the refusal has no request id.
    repeatingServer.repeatsCarryId = false;
    repeatingServer.status = http::status::too_many_requests;
    for (int i = 0; i < 10; ++i) {
        const HttpRequest order = request(http::verb::post, "/order/" + std::to_string(i));
        const unsigned status = send(vms[0].caller, order).result_int();
        if (repeatingServer.startedOrders.count(fieldValue(order, "X-Attempt-Id")) > 0) {
            CHECK(status == 502);
        }
    }
    CHECK(repeatingServer.repeatedRefusals > 0);
}

TEST_CASE_METHOD(RepeatedRefusalsFixture, "RepeatedRefusals.orderThatRuns.doesNotRunAtASecondServer")
{
    // Guards against orders that run twice, because the copy of an earlier refusal causes the daemon to reroute them to another backend server.
    repeatingServer.repeatsCarryId = false;
    for (int i = 0; i < 200; ++i) { // the retry budget is a share of the requests
        sendToFirstVm(http::verb::get, "/look/1");
    }
    sendToFirstVm(http::verb::post, "/order/refused");
    startSecondServer();
    vms.back().backend->serviceTime = 50ms; // concurrent orders exceed its slots, so that some are routed to the other backend server
    for (int i = 0; i < 4; ++i) {
        sendConcurrentOrders(20);
    }
    CHECK(repeatingServer.repeatedRefusals > 0);
}
