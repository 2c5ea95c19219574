#!/bin/sh
# Builds the programs of the third review's scripts into target/review-3. Needs g++ and nlohmann-json3-dev, as the
# deploy file does.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$(basename "$source" .cpp)" "$source" -pthread
done
