#pragma once

#include "results.h"

#include <string>

namespace carobjunction::bench
{

/** Formats results as a self-contained HTML page. */
class HtmlReport
{
public:
    /** @return HTML with the check results, figures, latency distributions and the load of each target over time */
    static std::string write(const Results &results);
};

} // namespace carobjunction::bench
