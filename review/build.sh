#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
FLAGS=(-std=c++20 -O1 -Wall -Wextra -Ibench -pthread)
objects=()
pids=()
for source in review/standins/*.cpp bench/childprocess.cpp bench/freeports.cpp; do
    object="review/build/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${FLAGS[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/[1-5]/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ "${FLAGS[@]}" "$source" "${objects[@]}" -o "review/build/case$number" -lcrypto
done
