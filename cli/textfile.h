#pragma once

#include <optional>
#include <string>

namespace carobjunction
{

/**
 * Reads a configuration file. Stops after 65 KiB, which is more than the parsers accept, so that they reject an
 * oversized file without its whole content in memory.
 * @return the content; empty after printing an error
 */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace carobjunction
