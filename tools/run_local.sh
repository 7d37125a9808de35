#!/usr/bin/env bash
# Installs packages, builds, and runs a small local deployment on the stand-in programs: the log
# service, and two upstreams with their daemons for each service of an example document. Sends
# requests through it and prints their outcomes. On failure, prints the last output of each process.
# Usage: tools/run_local.sh [gelo|siam] [--stay]
# With --stay the deployment runs until Ctrl-C; otherwise it stops after the requests.
set -euo pipefail
cd "$(dirname "$0")/.."
example=gelo
stay=false
for argument in "$@"; do
  case "$argument" in
    gelo | siam) example=$argument ;;
    --stay) stay=true ;;
    *)
      echo "usage: tools/run_local.sh [gelo|siam] [--stay]" >&2
      exit 2
      ;;
  esac
done
build=${BRONZEROUTE_BUILD:-build}
if [ -z "${BRONZEROUTE_SKIP_BUILD:-}" ]; then
  tools/install_packages.sh
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" -j "${BRONZEROUTE_JOBS:-$(nproc)}" \
    --target bronzerouted brctl brreport brload brstandin_log brstandin_worker
fi
bin=$build/bin
if [ "$example" = gelo ]; then
  # Each upstream as service:region/zone, within the regions that the document allows.
  upstreams=(estoque:recife/recife-a estoque:fortaleza/fortaleza-a
    pedidos:recife/recife-a pedidos:recife/recife-b
    comprovantes:fortaleza/fortaleza-b comprovantes:salvador/salvador-a)
  short=/estoque/items protected=/pedidos/orders long=/comprovantes/fotos slots=6 connections=260
else
  upstreams=(entries:central/central-a entries:north/north-a
    scoring:central/central-a scoring:central/central-b
    media:north/north-b media:south/south-a)
  short=/entries/list protected=/scoring/scores long=/media/photo-sets slots=9 connections=220
fi
work=$(mktemp -d)
pids=()
stop_all() {
  local code=$? pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$code" -ne 0 ] && [ "$code" -ne 130 ]; then
    echo "== failed; last lines of each process" >&2
    tail -n 5 "$work"/*.out >&2
  fi
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

log=127.0.0.1:7000
"$bin/brstandin_log" --listen $log >"$work/log.out" 2>&1 &
pids+=($!)
index=0
targets=()
admins=()
for upstream in "${upstreams[@]}"; do
  service=${upstream%%:*}
  zone=${upstream#*:}
  base=$((8000 + index * 10))
  cat >"$work/daemon-$index.toml" <<TOML
environment = "production"
region = "${zone%/*}"
availability_zone = "${zone#*/}"
[addresses]
callers = "127.0.0.1:$base"
peers = "127.0.0.1:$((base + 1))"
membership = "127.0.0.1:$((base + 2))"
admin = "127.0.0.1:$((base + 3))"
[log]
address = "$log"
TOML
  "$bin/bronzerouted" --settings "$work/daemon-$index.toml" >"$work/daemon-$index.out" 2>&1 &
  pids+=($!)
  "$bin/brstandin_worker" --listen "127.0.0.1:$((base + 4))" --daemon "127.0.0.1:$((base + 3))" \
    --service "$service" --slots $slots --connections $connections >"$work/worker-$index.out" 2>&1 &
  pids+=($!)
  targets+=(--target "127.0.0.1:$base")
  admins+=(--admin "127.0.0.1:$((base + 3))")
  index=$((index + 1))
done
# A process that exits immediately could not bind its address.
sleep 0.5
for pid in "${pids[@]}"; do
  kill -0 "$pid" 2>/dev/null || exit 1
done
echo "== publish examples/$example.toml to trial, promote it to production"
"$bin/brctl" --log "$log" publish "examples/$example.toml"
"$bin/brctl" --log "$log" promote
echo "== wait until every daemon has the configuration and lists all members"
"$bin/brctl" --log "$log" wait "${admins[@]}" --members "$index" --timeout 30
echo "== send requests through all daemons"
"$bin/brload" "${targets[@]}" --short-path $short --protected-path $protected --long-path $long \
  --short 60 --protected 20 --long 2 --long-bytes 1000000 --duration 3 --keys issued
"$bin/brctl" --log "$log" status "${admins[@]}"
if $stay; then
  echo "== running; callers' addresses:${targets[*]//--target/}; Ctrl-C stops it"
  wait
fi
