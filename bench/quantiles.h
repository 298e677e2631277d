#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

namespace carobjunction::bench
{

/** Exact quantiles: all samples are kept and sorted, nothing is put into buckets. */
class Quantiles
{
public:
    explicit Quantiles(std::vector<double> samples) : m_sorted(std::move(samples))
    {
        std::sort(m_sorted.begin(), m_sorted.end());
    }

    /**
     * Nearest-rank quantile.
     * @param share  from 0 to 1
     * @return the smallest sample that at least @p share of the samples don't exceed; 0 without samples
     */
    double at(double share) const
    {
        if (m_sorted.empty()) {
            return 0;
        }
        const auto count = static_cast<double>(m_sorted.size());
        // The small term keeps a product such as 0.99 * 100, which is slightly more than 99 in binary, at rank 99.
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
