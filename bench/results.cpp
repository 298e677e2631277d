#include "results.h"

#include <algorithm>

namespace carobjunction::bench
{

namespace
{

bool isSelected(const std::vector<std::string> &list, const std::string &name)
{
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

std::optional<double> findFigure(const Cell *cell, const std::string &name)
{
    if (cell == nullptr) {
        return std::nullopt;
    }
    const auto found = cell->figures.find(name);
    return found == cell->figures.end() ? std::nullopt : std::optional<double>(found->second);
}

} // namespace

Cell &Results::cell(const std::string &scenario, const std::string &load, const std::string &variant)
{
    for (Cell &candidate : cells) {
        if (candidate.scenario == scenario && candidate.load == load && candidate.variant == variant) {
            return candidate;
        }
    }
    cells.push_back({ scenario, load, variant, {}, {}, {} });
    return cells.back();
}

void Results::evaluate()
{
    const FigureCalculator calculator(*experiment);
    for (Cell &cell : cells) {
        std::vector<Sample> all;
        for (const auto &round : cell.rounds) {
            all.insert(all.end(), round.begin(), round.end());
        }
        cell.figures = FigureCalculator::combineRounds(cell.roundFigures);
        for (const auto &[name, value] : calculator.callFigures(all)) {
            if (name != "calls-per-s") {
                cell.figures[name] = value;
            }
        }
    }
    for (const Check &check : experiment->checks) {
        for (const Scenario &scenario : experiment->scenarios) {
            for (const LoadLevel &load : experiment->loads) {
                if (isSelected(check.scenarios, scenario.name) && isSelected(check.loads, load.name)) {
                    evaluateCheck(check, scenario.name, load.name);
                }
            }
        }
    }
}

void Results::evaluateCheck(const Check &check, const std::string &scenario, const std::string &load)
{
    CheckResult checkResult { check.name, scenario, load, 0, check.atMost, false };
    const auto value = findFigure(find(scenario, load, check.variant), check.measure);
    const auto base = check.relation == CheckRelation::Value ? std::optional<double>(0) : findFigure(find(scenario, load, check.baseline), check.measure);
    if (value && base && (check.relation != CheckRelation::Ratio || *base > 0)) {
        checkResult.isMeasurable = true;
        checkResult.measured = check.relation == CheckRelation::Ratio ? *value / *base : *value - *base;
    }
    checkResults.push_back(checkResult);
}

const Cell *Results::find(const std::string &scenario, const std::string &load, const std::string &variant) const
{
    const auto found
        = std::find_if(cells.begin(), cells.end(), [&](const Cell &cell) { return cell.scenario == scenario && cell.load == load && cell.variant == variant; });
    return found == cells.end() ? nullptr : &*found;
}

} // namespace carobjunction::bench
