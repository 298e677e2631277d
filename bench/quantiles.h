#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** Computes exact quantiles from a sorted copy of all samples instead of histogram buckets. */
class Quantiles
{
public:
    explicit Quantiles(std::vector<double> samples) : m_sorted(std::move(samples))
    {
        std::sort(m_sorted.begin(), m_sorted.end());
    }

    /**
     * Computes a quantile by the nearest-rank method.
     * @param share  quantile from 0 to 1, such as 0.99
     * @return the smallest sample such that at least @p share of the samples are less than or equal to it; 0 if there are no samples
     */
    double at(double share) const
    {
        if (m_sorted.empty()) {
            return 0;
        }
        const auto count = static_cast<double>(m_sorted.size());
        // Binary rounding can make a product such as 0.99 * 100 slightly larger than 99. The small term prevents ceil() from returning 100.
        const double rank = std::ceil(share * count - 1e-9);
        return m_sorted[static_cast<std::size_t>(std::clamp(rank, 1.0, count)) - 1];
    }

    const std::vector<double> &sorted() const
    {
        return m_sorted;
    }

private:
    std::vector<double> m_sorted;
};

} // namespace carobjunction::bench
