#pragma once

#include "results.h"

#include <string>

namespace carobjunction::bench
{

/** Formats results as JSON. */
class JsonReport
{
public:
    /** @return JSON with all figures, exact latency quantiles, check results and the load of each target over time */
    static std::string write(const Results &results);
};

} // namespace carobjunction::bench
