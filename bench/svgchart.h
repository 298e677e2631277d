#pragma once

#include <string>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** A line chart as SVG text. */
class SvgChart
{
public:
    enum class Scale {
        Linear,
        Logarithmic,
    };

    /** A line of a chart. */
    struct Line {
        std::string name;
        std::vector<std::pair<double, double>> points;
    };

    /** Title and meaning of the axes. */
    struct Axes {
        std::string title;
        std::string xLabel;
        std::string yLabel;
        Scale xScale = Scale::Linear;
        Scale yScale = Scale::Linear;
        int width = 560;
        int height = 300;
    };

    /** @return an `svg` element; empty lines are left out */
    static std::string draw(const Axes &axes, const std::vector<Line> &lines);

    /** @return @p text with the characters that HTML gives a meaning replaced */
    static std::string escape(const std::string &text);
};

} // namespace carobjunction::bench
