#!/usr/bin/env bash
# Compares, in one run, the same calls sent directly to an upstream, through the daemon beside it,
# and through a daemon in another availability zone, which forwards them with one hop. Prints percentiles, differences, processor
# time and resident memory of each daemon. Build first (tools/test.sh).
# Usage: tools/bench_speed.sh [CALLS_PER_SECOND] [SECONDS]
# 222 calls/s is the rate of one daemon at the target, 120,000 calls/s over 540 daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-222}
seconds=${2:-20}
bin=${BRONZEROUTE_BUILD:-build}/bin
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT
log=127.0.0.1:7200
"$bin/brstandin_log" --listen $log >/dev/null 2>&1 &
pids+=($!)
start_pair() { # index service zone
  local base=$((8500 + $1 * 10))
  cat >"$work/$1.toml" <<TOML
environment = "production"
region = "north"
availability_zone = "$3"
[addresses]
callers = "127.0.0.1:$base"
peers = "127.0.0.1:$((base + 1))"
membership = "127.0.0.1:$((base + 2))"
admin = "127.0.0.1:$((base + 3))"
[log]
address = "$log"
TOML
  "$bin/bronzerouted" --settings "$work/$1.toml" 2>"$work/daemon-$1.log" &
  pids+=($!)
  daemons[$1]=$!
  "$bin/brstandin_worker" --listen "127.0.0.1:$((base + 4))" --daemon "127.0.0.1:$((base + 3))" \
    --service "$2" --slots 64 --connections 1000 >/dev/null 2>&1 &
  pids+=($!)
}
daemons=(0 0)
start_pair 0 near north-a
start_pair 1 far north-b
cat >"$work/document.toml" <<'TOML'
format = 1
name = "bench"
[[service]]
name = "near"
deadline_ms = 5000
slots = 64
connections = 1000
[[service.route]]
prefix = "/near"
[[service.route]]
method = "POST"
prefix = "/near/protected"
protected = true
[[service]]
name = "far"
deadline_ms = 5000
slots = 64
connections = 1000
TOML
"$bin/brctl" --log $log publish "$work/document.toml" >/dev/null
"$bin/brctl" --log $log promote >/dev/null
"$bin/brctl" --log $log wait --admin 127.0.0.1:8503 --admin 127.0.0.1:8513 --members 2 >/dev/null

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
hz=$(getconf CLK_TCK)
measure() { # name target protected-rate keys seed
  local before0 before1 after0 after1 line
  before0=$(ticks "${daemons[0]}")
  before1=$(ticks "${daemons[1]}")
  line=$("$bin/brload" --target "$2" --short-path "/near/x?work_us=1000" --short "$rate" \
    --protected-path "/near/protected?work_us=1000" --protected "$3" --keys "$4" \
    --duration "$seconds" --seed "$5" --json)
  after0=$(ticks "${daemons[0]}")
  after1=$(ticks "${daemons[1]}")
  python3 - "$1" "$line" "$((after0 - before0))" "$((after1 - before1))" "$hz" "$seconds" \
    "$(rss "${daemons[0]}")" "$(rss "${daemons[1]}")" "$work/direct" <<'PY'
import json, os, sys
name, line, cpu0, cpu1, hz, seconds, rss0, rss1, direct = sys.argv[1:]
result = json.loads(line)
row = result["protected"] if name.endswith("protected") else result["short"]
if name.startswith("direct"):
    with open(direct + ("p" if name.endswith("protected") else "s"), "w") as out:
        json.dump(row, out)
base = json.load(open(direct + ("p" if name.endswith("protected") else "s")))
core = lambda ticks: 100 * int(ticks) / int(hz) / int(seconds)
print(f"{name:22} p50 {row['p50_us']:6} p99 {row['p99_us']:6} us  added p50 "
      f"{row['p50_us'] - base['p50_us']:6} p99 {row['p99_us'] - base['p99_us']:6} us  "
      f"core% near {core(cpu0):5.1f} far {core(cpu1):5.1f}  RSS MB {int(rss0) / 1024:.0f} "
      f"{int(rss1) / 1024:.0f}  {row['outcomes']}")
PY
}
echo "rate $rate calls/s, $seconds s each, load average $(cut -d' ' -f1 /proc/loadavg)"
measure direct 127.0.0.1:8504 0 none 7
measure own 127.0.0.1:8500 0 none 7
measure hop 127.0.0.1:8510 0 none 7
# Each protected run uses a different seed and so different keys: a call with a repeated key would
# get a response without being executed.
measure "direct protected" 127.0.0.1:8504 20 own 8
measure "own protected" 127.0.0.1:8500 20 own 9
measure "hop protected" 127.0.0.1:8510 20 own 10
