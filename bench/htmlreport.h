#pragma once

#include "results.h"

#include <string>

namespace carobjunction::bench
{

/** Writes results for people: one page without any other file. */
class HtmlReport
{
public:
    /** @return HTML with the judgements, figures, latency distributions and the load per target over time */
    static std::string write(const Results &results);
};

} // namespace carobjunction::bench
