#include <carobjunction/process/suspecttable.h>

#include <tuple>

namespace carobjunction::detail
{

namespace
{

constexpr unsigned ClearShift = 32;
constexpr uint64_t ChangeMask = (uint64_t { 1 } << ClearShift) - 1;

auto rank(const SuspectEntry &entry)
{
    return std::make_tuple(
        entry.revision >> ClearShift, entry.state == SuspectState::Condemned, entry.revision & ChangeMask, entry.state, entry.crashes, entry.service);
}

} // namespace

bool supersedes(const SuspectEntry &a, const SuspectEntry &b)
{
    return rank(a) > rank(b);
}

uint64_t nextRevision(uint64_t revision)
{
    return (revision & ChangeMask) == ChangeMask ? revision : revision + 1;
}

uint64_t clearedRevision(uint64_t revision)
{
    const uint64_t clears = std::min(revision >> ClearShift, ChangeMask - 1);
    return (clears + 1) << ClearShift;
}

} // namespace carobjunction::detail
