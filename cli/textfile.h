#pragma once

#include <optional>
#include <string>

namespace carobjunction
{

/**
 * Reads a configuration file, but at most its first 65 KiB. This exceeds the 64 KiB that the parsers accept, so that they
 * still reject an oversized file.
 * @return the content; empty after printing an error
 */
std::optional<std::string> readTextFile(const std::string &path);

} // namespace carobjunction
