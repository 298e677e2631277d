#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/**
 * Compares two texts line by line.
 * @return the differing lines in order, each prefixed with `-` if it is only in @p before or with `+` if it is only in @p after
 */
std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace carobjunction
