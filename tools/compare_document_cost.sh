#!/usr/bin/env bash
# Runs bench/document_cost.cc of two builds by turns and prints time and memory of this one as a
# ratio to the other. Usage: tools/compare_document_cost.sh BUILD OTHER_BUILD [ROUNDS]
set -euo pipefail
this=${1:?build directory}/bin/document_cost
other=${2:?build directory of the version to compare with}/bin/document_cost
for ((i = 0; i < ${3:-15}; ++i)); do
  echo "other $("$other")"
  echo "this $("$this")"
done | awk '
  { time[$1, ++runs[$1]] = $2; bytes[$1] = $4 }
  function median(name,   i, k, swap, n) {
    n = runs[name]
    for (i = 1; i <= n; ++i) for (k = i + 1; k <= n; ++k) if (time[name, k] < time[name, i]) {
      swap = time[name, i]; time[name, i] = time[name, k]; time[name, k] = swap
    }
    return time[name, int((n + 1) / 2)]
  }
  END {
    a = median("this"); b = median("other")
    printf "median of %d: %.3f ms, other %.3f ms, ratio %.3f; kept %d bytes, other %d, ratio %.3f\n",
      runs["this"], a, b, a / b, bytes["this"], bytes["other"], bytes["this"] / bytes["other"]
  }'
