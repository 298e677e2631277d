#include "announcer.h"
#include "backendserver.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <string>

using namespace carobjunction;
using namespace carobjunction::standin;

namespace
{

struct Arguments {
    std::string listen = "127.0.0.1:0";
    std::string operatorAddress;
    std::string service = "default";
    std::string logFile;
    double serviceTimeMs = 5;
    double coldMs = 0;
    double coldFactor = 5;
    BackendOptions backend;
};

uint64_t wallClockMs()
{
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

void addOptions(CLI::App &app, Arguments &arguments)
{
    const std::map<std::string, Distribution> distributions {
        { "constant", Distribution::Constant },
        { "exponential", Distribution::Exponential },
        { "lognormal", Distribution::LogNormal },
    };
    app.add_option("--listen", arguments.listen, "ip:port to listen on; port 0 selects a free port")->capture_default_str();
    app.add_option("--operator", arguments.operatorAddress, "ip:port of the daemon's operator port, at which the backend server announces itself");
    app.add_option("--service", arguments.service, "name of the service that is announced")->capture_default_str();
    app.add_option("--slots", arguments.backend.slots, "maximum number of requests that run concurrently")->capture_default_str()->check(CLI::Range(1, 10000));
    app.add_option("--service-time-ms", arguments.serviceTimeMs, "mean service time in milliseconds")->capture_default_str()->check(CLI::Range(0.0, 600000.0));
    app.add_option("--distribution", arguments.backend.distribution, "probability distribution of the service times")
        ->transform(CLI::CheckedTransformer(distributions));
    app.add_option("--seed", arguments.backend.seed, "seed of the random service times")->capture_default_str();
    app.add_option("--workers", arguments.backend.workers, "maximum number of connections served concurrently")
        ->capture_default_str()
        ->check(CLI::Range(1, 10000));
    app.add_option("--cold-start-ms", arguments.coldMs, "duration of the cold start in milliseconds")->capture_default_str();
    app.add_option("--cold-factor", arguments.coldFactor, "factor that multiplies the service time during the cold start")->capture_default_str();
    app.add_option("--log-file", arguments.logFile, "file descriptor number or path to which a line is written for each request that starts");
}

int run(Arguments &arguments)
{
    const std::size_t colon = arguments.listen.rfind(':');
    const std::string port = colon == std::string::npos ? std::string() : arguments.listen.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos) {
        std::cerr << "invalid value of --listen, expected ip:port\n";
        return 2;
    }
    arguments.backend.serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(arguments.serviceTimeMs));
    BackendServer server(arguments.backend);
    if (!arguments.logFile.empty() && !server.log().open(arguments.logFile)) {
        std::cerr << "cannot open the log file for writing: " << arguments.logFile << '\n';
        return 1;
    }
    if (arguments.coldMs > 0) {
        server.pool().updateBehaviour([&](Behaviour &behaviour) {
            behaviour.coldFactor = arguments.coldFactor;
            behaviour.cold.until = std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<int64_t>(arguments.coldMs));
        });
    }
    const std::string host = arguments.listen.substr(0, colon);
    const int boundPort = server.bind(host, std::stoi(port));
    if (boundPort <= 0) {
        std::cerr << "cannot listen on " << arguments.listen << '\n';
        return 1;
    }
    const std::string address = host + ':' + std::to_string(boundPort);
    std::cout << "listening " << address << std::endl;
    std::unique_ptr<Announcer> announcer;
    if (!arguments.operatorAddress.empty()) {
        const Announcement announcement { arguments.service, address, arguments.backend.slots, wallClockMs() };
        announcer = std::make_unique<Announcer>(arguments.operatorAddress, announcement, [&server] { return server.pool().behaviour().announce; });
        server.setLeaveHandler([&announcer] { return announcer->announceLeave(); });
    }
    return server.serve() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in backend server for tests and experiments");
    Arguments arguments;
    addOptions(app, arguments);
    CLI11_PARSE(app, argc, argv);
    return run(arguments);
}
