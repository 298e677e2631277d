#include "process/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <mutex>
#include <sstream>

namespace carobjunction
{

namespace
{

namespace acc = boost::accumulators;
constexpr std::array<double, 4> Probabilities = { 0.5, 0.95, 0.99, 0.999 };

} // namespace

struct Metrics::Distribution {
    using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    mutable std::mutex mutex;
    Accumulator accumulator { acc::extended_p_square_probabilities = Probabilities };
};

Metrics::Metrics()
{
    for (auto &distribution : m_distributions) {
        distribution = std::make_unique<Distribution>();
    }
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, uint64_t amount)
{
    m_counters[static_cast<size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

uint64_t Metrics::value(Counter counter) const
{
    return m_counters[static_cast<size_t>(counter)].load(std::memory_order_relaxed);
}

void Metrics::observe(Quantile quantile, Duration duration)
{
    Distribution &distribution = *m_distributions[static_cast<size_t>(quantile)];
    const std::scoped_lock lock(distribution.mutex);
    distribution.accumulator(std::chrono::duration<double>(duration).count());
}

std::string Metrics::toPrometheus() const
{
    std::ostringstream text;
    for (const auto &[counter, name] : EnumNames<Counter>::Table) {
        text << "# TYPE " << name << " counter\n" << name << ' ' << value(counter) << '\n';
    }
    for (const auto &[quantile, name] : EnumNames<Quantile>::Table) {
        const Distribution &distribution = *m_distributions[static_cast<size_t>(quantile)];
        const std::scoped_lock lock(distribution.mutex);
        text << "# TYPE " << name << " summary\n";
        const size_t count = acc::count(distribution.accumulator);
        for (size_t index = 0; index < Probabilities.size() && count > 0; ++index) {
            text << name << "{quantile=\"" << Probabilities[index] << "\"} " << acc::extended_p_square(distribution.accumulator)[static_cast<long>(index)]
                 << '\n';
        }
        text << name << "_sum " << acc::sum(distribution.accumulator) << '\n' << name << "_count " << count << '\n';
    }
    return text.str();
}

} // namespace carobjunction
