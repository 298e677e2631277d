#include <carobjunction/process/suspecttable.h>

#include <tuple>

namespace carobjunction::detail
{

namespace
{

constexpr unsigned ClearCountShift = 32; // the lower 32 bits of a revision count changes, the upper 32 bits count clears
constexpr uint64_t ChangeCountMask = (uint64_t { 1 } << ClearCountShift) - 1;

auto precedence(const SuspectEntry &entry)
{
    return std::make_tuple(
        entry.revision >> ClearCountShift, entry.state == SuspectState::Condemned, entry.revision & ChangeCountMask, entry.state, entry.crashes, entry.service);
}

} // namespace

bool supersedes(const SuspectEntry &a, const SuspectEntry &b)
{
    return precedence(a) > precedence(b);
}

uint64_t revisionAfterChange(uint64_t revision)
{
    return (revision & ChangeCountMask) == ChangeCountMask ? revision : revision + 1;
}

uint64_t revisionAfterClear(uint64_t revision)
{
    const uint64_t clears = std::min(revision >> ClearCountShift, ChangeCountMask - 1);
    return (clears + 1) << ClearCountShift;
}

} // namespace carobjunction::detail
