#pragma once

#include <optional>
#include <string>

namespace carobjunction
{

/**
 * Reads a configuration file. Of a file that is too large it reads only a little more than the parsers accept.
 * @return the content, or empty after printing an error
 */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace carobjunction
