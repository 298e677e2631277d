#include "svgchart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <iomanip>
#include <limits>
#include <sstream>

namespace carobjunction::bench
{

namespace
{

constexpr double LeftMargin = 56;
constexpr double RightMargin = 12;
constexpr double TopMargin = 30;
constexpr double BottomMargin = 44;
constexpr int LinearTickCount = 5;

// Palette of Okabe and Ito, which is distinguishable with the common forms of colour blindness. Further lines repeat the colours with dashes.
constexpr std::array<const char *, 8> Colours { "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#8c6d31", "#7f7f7f" };

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << std::setprecision(3) << value;
    return text.str();
}

/** Maps values to pixel positions along one axis. */
class Axis
{
public:
    Axis(SvgChart::Scale scale, double low, double high, double startPosition, double endPosition)
        : m_scale(scale), m_low(low), m_high(high), m_startPosition(startPosition), m_endPosition(endPosition)
    {
    }

    double position(double value) const
    {
        const double share = (convert(value) - convert(m_low)) / std::max(1e-12, convert(m_high) - convert(m_low));
        return m_startPosition + share * (m_endPosition - m_startPosition);
    }

    std::vector<double> ticks() const
    {
        std::vector<double> values;
        if (m_scale == SvgChart::Scale::Linear) {
            for (int i = 0; i <= LinearTickCount; ++i) {
                values.push_back(m_low + (m_high - m_low) * i / LinearTickCount);
            }
            return values;
        }
        for (double power = std::ceil(std::log10(m_low) - 1e-9); power <= std::log10(m_high) + 1e-9; ++power) {
            values.push_back(std::pow(10, power));
        }
        return values;
    }

private:
    double convert(double value) const
    {
        return m_scale == SvgChart::Scale::Linear ? value : std::log10(std::max(value, 1e-9));
    }

    SvgChart::Scale m_scale;
    double m_low;
    double m_high;
    double m_startPosition;
    double m_endPosition;
};

struct Range {
    double low = std::numeric_limits<double>::infinity();
    double high = -std::numeric_limits<double>::infinity();

    void extendTo(double value)
    {
        low = std::min(low, value);
        high = std::max(high, value);
    }

    void roundOutwards(SvgChart::Scale scale)
    {
        if (scale == SvgChart::Scale::Linear) {
            low = std::min(0.0, low);
            high = high > low ? high : low + 1;
            return;
        }
        low = std::pow(10, std::floor(std::log10(std::max(low, 1e-6))));
        high = std::pow(10, std::ceil(std::log10(std::max(high, low * 1.001))));
    }
};

void drawFrame(std::ostringstream &svg, const SvgChart::Axes &axes, const Axis &x, const Axis &y)
{
    const double right = axes.width - RightMargin;
    const double bottom = axes.height - BottomMargin;
    svg << "<text class='title' x='" << LeftMargin << "' y='18'>" << SvgChart::escape(axes.title) << "</text>";
    for (const double tick : x.ticks()) {
        const double at = x.position(tick);
        svg << "<line class='grid' x1='" << at << "' x2='" << at << "' y1='" << TopMargin << "' y2='" << bottom << "'/><text text-anchor='middle' x='" << at
            << "' y='" << bottom + 14 << "'>" << formatNumber(tick) << "</text>";
    }
    for (const double tick : y.ticks()) {
        const double at = y.position(tick);
        svg << "<line class='grid' x1='" << LeftMargin << "' x2='" << right << "' y1='" << at << "' y2='" << at << "'/><text text-anchor='end' x='"
            << LeftMargin - 5 << "' y='" << at + 4 << "'>" << formatNumber(tick) << "</text>";
    }
    svg << "<text text-anchor='middle' x='" << (LeftMargin + right) / 2 << "' y='" << axes.height - 8 << "'>" << SvgChart::escape(axes.xLabel) << "</text>"
        << "<text text-anchor='middle' transform='translate(12," << (TopMargin + bottom) / 2 << ") rotate(-90)'>" << SvgChart::escape(axes.yLabel) << "</text>";
}

void drawLine(std::ostringstream &svg, const SvgChart::Line &line, std::size_t index, const Axis &x, const Axis &y)
{
    svg << "<polyline fill='none' stroke-width='1.6' stroke='" << Colours[index % Colours.size()] << "'";
    if (index >= Colours.size()) {
        svg << " stroke-dasharray='4 2'";
    }
    svg << " points='";
    for (const auto &[px, py] : line.points) {
        svg << x.position(px) << ',' << y.position(py) << ' ';
    }
    svg << "'><title>" << SvgChart::escape(line.name) << "</title></polyline>";
}

} // namespace

std::string SvgChart::draw(const Axes &axes, const std::vector<Line> &lines)
{
    Range xRange;
    Range yRange;
    for (const Line &line : lines) {
        for (const auto &[px, py] : line.points) {
            xRange.extendTo(px);
            yRange.extendTo(py);
        }
    }
    if (xRange.low > xRange.high) {
        return {};
    }
    xRange.roundOutwards(axes.xScale);
    yRange.roundOutwards(axes.yScale);
    const Axis x(axes.xScale, xRange.low, xRange.high, LeftMargin, axes.width - RightMargin);
    const Axis y(axes.yScale, yRange.low, yRange.high, axes.height - BottomMargin, TopMargin);
    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1) << "<svg viewBox='0 0 " << axes.width << ' ' << axes.height << "' width='" << axes.width << "' height='"
        << axes.height << "' role='img'>";
    drawFrame(svg, axes, x, y);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        drawLine(svg, lines[i], i, x, y);
    }
    svg << "</svg><div class='legend'>";
    for (std::size_t i = 0; i < lines.size(); ++i) {
        svg << "<span style='--c:" << Colours[i % Colours.size()] << "'>" << escape(lines[i].name) << (i >= Colours.size() ? " (dashed)" : "") << "</span>";
    }
    svg << "</div>";
    return svg.str();
}

std::string SvgChart::escape(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '\'':
            result += "&#39;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

} // namespace carobjunction::bench
