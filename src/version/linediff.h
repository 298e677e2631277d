#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carobjunction
{

/**
 * Line difference of two texts.
 * @return the lines that differ, in order: `-` and a line of @p before, or `+` and a line of @p after
 */
std::vector<std::string> lineDiff(std::string_view before, std::string_view after);

} // namespace carobjunction
