#pragma once

#include "experiment.h"
#include "figures.h"
#include "sample.h"

#include <cstddef>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** Results of all rounds of one combination of scenario, load and variant. */
struct Cell {
    std::string scenario;
    std::string load;
    std::string variant;
    std::vector<std::vector<Sample>> rounds; /**< Samples of each round. */
    std::vector<Figures> roundFigures; /**< Figures of each round. */
    Figures figures; /**< Figures over all rounds. Quantiles are computed from the combined samples of all rounds. */
};

/** Result of a Check for one scenario and one load. */
struct CheckResult {
    std::string name;
    std::string scenario;
    std::string load;
    double measured = 0;
    double atMost = 0;
    bool isMeasurable = false; /**< Whether all required figures exist and, for a ratio, the baseline is positive. */

    bool isMet() const
    {
        return isMeasurable && measured <= atMost;
    }
};

/** Results of an experiment, with the circumstances under which they were measured. */
struct Results {
    const Experiment *experiment = nullptr;
    std::string command;
    std::string machine;
    std::string startedAt;
    std::string remark; /**< Remark of the user on the circumstances of the runs. */
    std::vector<Cell> cells;
    std::vector<std::string> failures; /**< Titles of the runs that failed, each with the reason. */
    std::vector<CheckResult> checkResults;

    /** @return the cell of a combination, which is created if it does not exist */
    Cell &cell(const std::string &scenario, const std::string &load, const std::string &variant);

    /** Combines the rounds of each cell and evaluates all checks. */
    void evaluate();

private:
    void evaluateCheck(const Check &check, const std::string &scenario, const std::string &load);
    const Cell *find(const std::string &scenario, const std::string &load, const std::string &variant) const;
};

} // namespace carobjunction::bench
