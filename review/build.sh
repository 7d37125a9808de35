#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/. They need only g++.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c rig/rig.cc -o bin/rig.o
for source in [1-5]/*.cc; do
  g++ "${flags[@]}" "$source" bin/rig.o -o "bin/$(basename "$source" .cc)"
done
