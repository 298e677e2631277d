#pragma once

#include "experiment.h"
#include "figures.h"
#include "sample.h"

#include <cstddef>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** One variant under one scenario and one load, over all rounds. */
struct Cell {
    std::string scenario;
    std::string load;
    std::string variant;
    std::vector<std::vector<Sample>> rounds;
    std::vector<Figures> roundFigures;
    Figures figures; /**< Over all rounds; quantiles from the samples of all rounds together. */
};

/** A stated target and what was measured. */
struct CheckResult {
    std::string name;
    std::string scenario;
    std::string load;
    double measured = 0;
    double atMost = 0;
    bool isMeasurable = false; /**< False if a cell or its figure is missing. */

    bool isMet() const
    {
        return isMeasurable && measured <= atMost;
    }
};

/** Everything that an experiment gave. */
struct Results {
    const Experiment *experiment = nullptr;
    std::string command;
    std::string machine;
    std::string startedAt;
    std::string remark; /**< Circumstances that the reader must know. */
    std::vector<Cell> cells;
    std::vector<std::string> failures; /**< Runs that gave nothing, with the reason. */
    std::vector<CheckResult> checkResults;

    /** @return the cell, added if it doesn't exist */
    Cell &cell(const std::string &scenario, const std::string &load, const std::string &variant);

    /** Combines the rounds of each cell and judges the stated targets. */
    void evaluate();

private:
    void evaluateCheck(const Check &check, const std::string &scenario, const std::string &load);
    const Cell *find(const std::string &scenario, const std::string &load, const std::string &variant) const;
};

} // namespace carobjunction::bench
