#pragma once

#include "sample.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace carobjunction::bench
{

/** Mean number of calls in progress at each target, over consecutive intervals of equal length. */
struct LoadSeries {
    double intervalSeconds = 0;
    std::map<int, std::vector<double>> targets; /**< One value per interval, by target index. */

    /**
     * Computes the series from the times at which calls were sent and answered.
     * @param samples  calls of one run
     * @param intervals  number of intervals
     * @return the series; without targets if no call was planned after the start of the run
     */
    static LoadSeries of(const std::vector<Sample> &samples, std::size_t intervals)
    {
        using Seconds = std::chrono::duration<double>;
        LoadSeries series;
        double end = 0;
        for (const Sample &sample : samples) {
            end = std::max(end, Seconds(sample.plan.at).count());
        }
        series.intervalSeconds = end / static_cast<double>(intervals);
        for (const Sample &sample : samples) {
            if (sample.target < 0 || series.intervalSeconds <= 0) {
                continue;
            }
            std::vector<double> &values = series.targets[sample.target];
            values.resize(intervals);
            const double from = Seconds(sample.sent).count() / series.intervalSeconds;
            const double to = Seconds(sample.completed).count() / series.intervalSeconds;
            for (auto i = static_cast<std::size_t>(from); i < intervals && static_cast<double>(i) < to; ++i) {
                const auto start = static_cast<double>(i);
                values[i] += std::min(to, start + 1) - std::max(from, start);
            }
        }
        return series;
    }
};

} // namespace carobjunction::bench
