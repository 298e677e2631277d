#include "../standins/casemain.h"
#include "../standins/deployment.h"

using namespace carobjunction::review;

namespace
{

constexpr Milliseconds ReadDuration { 1000 };
constexpr const char *OuterId = "outer";
constexpr const char *InnerId = "inner";

std::string requestHead(const std::string &id, const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + Deployment::Host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n";
}

int play(Record &record, bool hasTrouble)
{
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { { "/order/", "non_idempotent", "ordering" } });
    if (!deployment.start()) {
        return ExitNotRun;
    }
    const Machine &callerMachine = deployment.machines[2];
    if (deployment.request(callerMachine, http::verb::post, "/order/1") != 200) {
        return ExitNotRun;
    }
    // The body of the outer request contains the text of another request.
    const std::string body = requestHead(InnerId, "/order/2") + "Content-Length: 0\r\n\r\n";
    const std::string framing = hasTrouble ? "Transfer-Encoding: gzip\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    record.write("client at vm-3: sends outer /order/1 with " + framing.substr(0, framing.size() - 2)
                 + "; its body is the text of a request with the id inner");
    sendBytes(callerMachine.callerPort, requestHead(OuterId, "/order/1") + framing + "\r\n" + body, ReadDuration);
    int smuggled = 0;
    for (const Machine &machine : deployment.machines) {
        for (const Run &run : machine.target->runs()) {
            smuggled += run.requestId == InnerId ? 1 : 0;
        }
    }
    record.write("requests run that were inside the body of another one: " + std::to_string(smuggled));
    return smuggled > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
