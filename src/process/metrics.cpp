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
constexpr std::array<double, 4> QuantileProbabilities = { 0.5, 0.95, 0.99, 0.999 };
constexpr std::array<double, 14> BucketBoundsSeconds = { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10 };
constexpr std::string_view RefusalsByReason = "carobjunction_refusals_by_reason_total";

} // namespace

struct Metrics::Distribution {
    using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    mutable std::mutex mutex;
    Accumulator accumulator { acc::extended_p_square_probabilities = QuantileProbabilities };
    std::array<uint64_t, BucketBoundsSeconds.size()> buckets {}; /**< Cumulative number of values up to each bound of BucketBoundsSeconds. */
};

namespace
{

template<typename T>
std::string typeLine(const T &name, const char *type)
{
    std::ostringstream line;
    line << "# TYPE " << name << ' ' << type << '\n';
    return line.str();
}

} // namespace

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

void Metrics::observe(Histogram histogram, Duration duration)
{
    Distribution &distribution = *m_distributions[static_cast<size_t>(histogram)];
    const std::scoped_lock lock(distribution.mutex);
    const double seconds = std::chrono::duration<double>(duration).count();
    distribution.accumulator(seconds);
    for (size_t index = 0; index < BucketBoundsSeconds.size(); ++index) {
        distribution.buckets[index] += seconds <= BucketBoundsSeconds[index] ? 1 : 0;
    }
}

void Metrics::set(Gauge gauge, uint64_t value)
{
    m_gauges[static_cast<size_t>(gauge)].store(value, std::memory_order_relaxed);
}

void Metrics::addRefusal(Reason reason)
{
    add(Counter::Refusals);
    m_refusalsByReason[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

std::string Metrics::toPrometheus() const
{
    std::ostringstream text;
    for (const auto &[counter, name] : EnumNames<Counter>::Table) {
        text << "# TYPE " << name << " counter\n" << name << ' ' << value(counter) << '\n';
    }
    for (const auto &[gauge, name] : EnumNames<Gauge>::Table) {
        text << typeLine(name, "gauge") << name << ' ' << m_gauges[static_cast<size_t>(gauge)].load(std::memory_order_relaxed) << '\n';
    }
    text << typeLine(RefusalsByReason, "counter");
    for (const auto &[reason, name] : EnumNames<Reason>::Table) {
        const uint64_t count = m_refusalsByReason[static_cast<size_t>(reason)].load(std::memory_order_relaxed);
        if (count > 0) {
            text << RefusalsByReason << "{reason=\"" << name << "\"} " << count << '\n';
        }
    }
    for (const auto &[histogram, name] : EnumNames<Histogram>::Table) {
        writeDistribution(text, std::string(name), *m_distributions[static_cast<size_t>(histogram)]);
    }
    return text.str();
}

/** Writes a histogram, and the quantiles of all values since the start as gauges under a separate name. */
void Metrics::writeDistribution(std::ostream &text, const std::string &name, const Distribution &distribution)
{
    const std::scoped_lock lock(distribution.mutex);
    const size_t count = acc::count(distribution.accumulator);
    text << typeLine(name, "histogram");
    for (size_t index = 0; index < BucketBoundsSeconds.size(); ++index) {
        text << name << "_bucket{le=\"" << BucketBoundsSeconds[index] << "\"} " << distribution.buckets[index] << '\n';
    }
    text << name << "_bucket{le=\"+Inf\"} " << count << '\n' << name << "_sum " << acc::sum(distribution.accumulator) << '\n';
    text << name << "_count " << count << '\n';
    if (count == 0) {
        return;
    }
    text << typeLine(name + "_quantile", "gauge");
    for (size_t index = 0; index < QuantileProbabilities.size(); ++index) {
        text << name << "_quantile{quantile=\"" << QuantileProbabilities[index] << "\"} "
             << acc::extended_p_square(distribution.accumulator)[static_cast<long>(index)] << '\n';
    }
}

} // namespace carobjunction
