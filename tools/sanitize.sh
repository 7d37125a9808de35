#!/usr/bin/env bash
# Builds with the address and undefined-behaviour sanitizers and runs the tests, the soak's short
# profile included. Usage: tools/sanitize.sh [BUILD_DIR [CTEST_ARGUMENT...]]
# Tests listed in KNOWN-RED.txt are skipped, as in CI.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build-sanitized}
shift $(($# < 1 ? $# : 1))
cmake -S . -B "$build" -G Ninja -DBRONZEROUTE_SANITIZERS=address,undefined >/dev/null
cmake --build "$build" -j "${BRONZEROUTE_JOBS:-$(nproc)}"
# Freed memory is not kept back for long, since tests bound the memory of processes.
export ASAN_OPTIONS="quarantine_size_mb=4:${ASAN_OPTIONS:-}"
export UBSAN_OPTIONS="print_stacktrace=1:${UBSAN_OPTIONS:-}"
# These bound the memory of a process, which the sanitizer multiplies.
exclude="StreamingTest.Large.*NeverBufferedWhole|^body_memory"
if [ -s KNOWN-RED.txt ]; then
  exclude+="|^($(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|'))$"
fi
ctest --test-dir "$build" --output-on-failure -j "${BRONZEROUTE_TEST_JOBS:-2}" -E "$exclude" "$@"
