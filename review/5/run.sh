#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x review/build/case5 ] || exit 2
exec review/build/case5 review/5/record.txt
