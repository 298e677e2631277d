#include "textfile.h"

#include "output.h"

#include <fstream>

namespace carobjunction
{

std::optional<std::string> readTextFile(const std::string &path)
{
    constexpr std::streamsize MaxBytes = 65L * 1024;
    std::ifstream file(path, std::ios::binary);
    std::string text(MaxBytes, '\0');
    file.read(text.data(), MaxBytes);
    if (file.bad() || (file.fail() && !file.eof())) {
        printError("cannot read " + path);
        return std::nullopt;
    }
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

} // namespace carobjunction
