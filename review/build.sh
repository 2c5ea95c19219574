#!/bin/bash
# Builds the stand-ins of the cases into target/review/. Run from any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
