#!/usr/bin/env bash
# Builds what the scripts of the second review start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++17 -O1 -Wall -Wextra -pthread $(pkg-config --cflags jsoncpp 2>/dev/null || echo -I/usr/include/jsoncpp) "$source" -o "target/review-2/case-$number" -ljsoncpp
done
