#!/usr/bin/env bash
# Builds the stand-in of the cases of review 2 into target/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/harness review/standins-2/harness.cpp
