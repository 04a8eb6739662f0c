#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for driver in review/[0-9]/driver.cpp; do
    number=$(basename "$(dirname "$driver")")
    g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "target/review/case$number" "$driver" review/stand_in/world.cpp
done
