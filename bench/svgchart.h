#pragma once

#include <string>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** Draws line charts as SVG. */
class SvgChart
{
public:
    enum class Scale {
        Linear,
        Logarithmic,
    };

    /** A named line of a chart. */
    struct Line {
        std::string name;
        std::vector<std::pair<double, double>> points;
    };

    /** Title, axis labels, scales and size of a chart. */
    struct Axes {
        std::string title;
        std::string xLabel;
        std::string yLabel;
        Scale xScale = Scale::Linear;
        Scale yScale = Scale::Linear;
        int width = 560; /**< In pixels. */
        int height = 300; /**< In pixels. */
    };

    /** @return an `svg` element followed by a legend, or an empty string if no line has points */
    static std::string draw(const Axes &axes, const std::vector<Line> &lines);

    /** @return @p text with the special characters of HTML replaced by entities */
    static std::string escape(const std::string &text);
};

} // namespace carobjunction::bench
