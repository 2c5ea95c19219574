#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    if [ "$number" -ge 6 ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$case"
    fi
done
