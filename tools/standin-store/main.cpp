#include "standinserver.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app { "Table service and object store in memory, with faults on request" };
    std::string listen = "127.0.0.1:0";
    size_t threads = 256;
    carobjunction::StandinFaults faults;
    app.add_option("--listen", listen, "address as ip:port; port 0 chooses one");
    app.add_option("--threads", threads, "largest number of kept-alive connections");
    app.add_option("--write-limit", faults.writeLimit, "writes a second");
    app.add_option("--read-limit", faults.readLimit, "reads a second");
    CLI11_PARSE(app, argc, argv);

    const size_t colon = listen.rfind(':');
    const std::string host = listen.substr(0, colon);
    const int wanted = colon == std::string::npos ? -1 : std::atoi(listen.c_str() + colon + 1);
    carobjunction::StandinServer server(threads);
    server.setFaults(faults);
    const int port = wanted < 0 ? -1 : server.bind(host, wanted);
    if (port < 0) {
        std::cerr << "cannot listen on " << listen << '\n';
        return 1;
    }
    std::cout << "listening " << host << ':' << port << std::endl;
    server.run();
    return 0;
}
