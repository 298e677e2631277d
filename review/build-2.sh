#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT/objects"
FLAGS=(-std=c++20 -O1 -Wall -Wextra -Wshadow -Wno-missing-field-initializers -Wno-mismatched-new-delete)
INCLUDES=(-Iinclude -Isrc -I. -Itests -Ibench -Itests/soak -Ireview/standins-2)
LIBRARIES=(target/platform/libcarobjunction_platform.a target/libcarobjunction.a)
PACKAGES=(log4cplus openssl yaml-cpp)
SHARED=(
    review/standins-2/reviewcluster.cpp tests/platform/platformstandins.cpp tests/soak/faultproxy.cpp
    bench/childprocess.cpp bench/freeports.cpp
)
objects=()
builds=()
for source in "${SHARED[@]}"; do
    object="$OUT/objects/$(basename "$source" .cpp).o"
    g++ "${FLAGS[@]}" "${INCLUDES[@]}" -c "$source" -o "$object" &
    builds+=($!)
    objects+=("$object")
done
for build in "${builds[@]}"; do
    wait "$build"
done
builds=()
for source in review/standins-2/*.cpp; do
    [ "$source" != review/standins-2/reviewcluster.cpp ] || continue
    g++ "${FLAGS[@]}" "${INCLUDES[@]}" "$source" "${objects[@]}" "${LIBRARIES[@]}" \
        $(pkg-config --libs "${PACKAGES[@]}") -pthread -o "$OUT/$(basename "$source" .cpp)" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
