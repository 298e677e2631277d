#include "standinstoreserver.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app { "In-memory table service and object store with fault injection, for tests and experiments" };
    std::string listen = "127.0.0.1:0";
    size_t threads = 256;
    carobjunction::StandinStoreFaults faults;
    app.add_option("--listen", listen, "ip:port to listen on; port 0 selects a free port");
    app.add_option("--threads", threads, "maximum number of persistent connections");
    app.add_option("--write-limit", faults.writeLimit, "maximum number of writes per second");
    app.add_option("--read-limit", faults.readLimit, "maximum number of reads per second");
    CLI11_PARSE(app, argc, argv);

    const size_t colon = listen.rfind(':');
    const std::string host = listen.substr(0, colon);
    const int requestedPort = colon == std::string::npos ? -1 : std::atoi(listen.c_str() + colon + 1);
    carobjunction::StandinStoreServer server(threads);
    server.setFaults(faults);
    const int port = requestedPort < 0 ? -1 : server.bind(host, requestedPort);
    if (port < 0) {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::cout << "listening " << host << ':' << port << std::endl;
    server.run();
    return 0;
}
