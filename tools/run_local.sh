#!/usr/bin/env bash
# Installs packages, builds, and runs a small local deployment on the built-in stand-ins: the
# platform's log, and two upstreams with their daemons for each service of a shipped example.
# Sends requests through it and prints the responses.
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
    --target bronzerouted brctl brload brstandin_log brstandin_worker
fi
bin=$build/bin
if [ "$example" = gelo ]; then
  services=(pedidos estoque comprovantes)
  zones=(recife/recife-a recife/recife-b fortaleza/fortaleza-a fortaleza/fortaleza-b salvador/salvador-a salvador/salvador-b)
  short=/estoque/items protected=/pedidos/orders long=/comprovantes/photos slots=6 connections=260
else
  services=(scoring entries media)
  zones=(central/central-a central/central-b north/north-a north/north-b south/south-a south/south-b)
  short=/entries/list protected=/scoring/scores long=/media/photos slots=9 connections=220
fi
work=$(mktemp -d)
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
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
for service in "${services[@]}"; do
  for _ in 1 2; do
    zone=${zones[$((index % ${#zones[@]}))]}
    base=$((8000 + index * 10))
    cat >"$work/$index.toml" <<TOML
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
    "$bin/bronzerouted" --settings "$work/$index.toml" 2>"$work/daemon-$index.log" &
    pids+=($!)
    "$bin/brstandin_worker" --listen "127.0.0.1:$((base + 4))" --daemon "127.0.0.1:$((base + 3))" \
      --service "$service" --slots $slots --connections $connections >/dev/null 2>&1 &
    pids+=($!)
    targets+=(--target "127.0.0.1:$base")
    admins+=(--admin "127.0.0.1:$((base + 3))")
    index=$((index + 1))
  done
done
echo "== publish examples/$example.toml to trial, promote it to production"
"$bin/brctl" --log "$log" publish "examples/$example.toml"
"$bin/brctl" --log "$log" promote
echo "== wait until every daemon has the configuration and knows its peers"
"$bin/brctl" --log "$log" wait "${admins[@]}" --members "$index" --timeout 30
echo "== send requests through all daemons"
"$bin/brload" "${targets[@]}" --short-path $short --protected-path $protected --long-path $long \
  --short 60 --protected 20 --long 2 --long-bytes 1000000 --duration 3 --keys issued
"$bin/brctl" --log "$log" status "${admins[@]}"
if $stay; then
  echo "== running; callers' addresses: ${targets[*]//--target/}; Ctrl-C stops it"
  wait
fi
