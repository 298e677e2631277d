#pragma once

#include "results.h"

#include <string>

namespace carobjunction::bench
{

/** Writes results for programs. */
class JsonReport
{
public:
    /** @return JSON with all figures, the exact quantiles of the latencies and the load per target over time */
    static std::string write(const Results &results);
};

} // namespace carobjunction::bench
