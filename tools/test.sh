#!/usr/bin/env bash
# Installs packages, builds, and runs the tests. Usage: tools/test.sh [BUILD_DIR]
# Tests listed in KNOWN-RED.txt are printed and skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tools/install_packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${BRONZEROUTE_JOBS:-$(nproc)}"
known_red=()
if [ -s KNOWN-RED.txt ]; then
  mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
exclude=()
if [ ${#known_red[@]} -gt 0 ]; then
  echo "Known red, skipped:"
  cat KNOWN-RED.txt
  exclude=(-E "^($(IFS='|'; echo "${known_red[*]}"))$")
fi
ctest --test-dir "$build" --output-on-failure -j 4 "${exclude[@]}"
