#include "casemain.h"

#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>

namespace carobjunction::review
{

int runCase(int argc, char **argv, int (*play)(Record &record, bool hasTrouble))
{
    if (argc != 2) {
        return ExitNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    try {
        Record record(argv[1]);
        const int result = play(record, hasTrouble);
        record.write("exit status " + std::to_string(result));
        return result;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return ExitNotRun;
    }
}

} // namespace carobjunction::review
