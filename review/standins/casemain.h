#pragma once

#include "record.h"

namespace carobjunction::review
{

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/**
 * Plays a case in the root of the repository.
 * @param argv  the second element is the path of the record
 * @param play  plays the case with or without its disruption and returns an exit status; TROUBLE=0 leaves the disruption out
 */
int runCase(int argc, char **argv, int (*play)(Record &record, bool hasTrouble));

} // namespace carobjunction::review
