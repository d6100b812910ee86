#!/usr/bin/env bash
# Runs a small deployment on loopback: the platform's stand-in, backend servers of two services, eight
# instances in four failure domains. Puts load on it while a table is edited, a failure domain is taken
# out and brought back, an instance is killed and a version rollout runs. Prints a report and stops
# everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly instances=8
readonly host=127.0.0.1
readonly platform=http://$host:17000
dir=$(mktemp -d)
pids=()

stop() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT

start() { # log command...
  local log=$1
  shift
  "$@" >"$dir/$log.log" 2>&1 &
  pids+=($!)
}

await() { # what command...
  local what=$1
  shift
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "demo: $what did not start" >&2
  cat "$dir"/*.log >&2
  exit 1
}

settings() { # number
  cat <<TOML
name = "entry-$1"
domain = "d$(($1 % 4 + 1))"

[traffic]
address = "$host:$((18000 + $1))"

[peer]
address = "$host:$((18100 + $1))"
seeds = ["$host:18100", "$host:18101"]

[admin]
address = "$host:$((18200 + $1))"

[platform]
url = "$platform"
TOML
}

section() { printf '\n== %s (second %d of the load)\n' "$*" $((SECONDS - ${loaded:-SECONDS})); }

ctl() { bin/goldctl "$@"; }

traffic=$(seq -s, -f "$host:%g" 18000 $((18000 + instances - 1)))
admin=$(seq -s, -f "$host:%g" 18200 $((18200 + instances - 1)))

section "start: platform, 18 + 12 backend servers, $instances instances"
start platform bin/fakeplatform serve -listen $host:17000
await platform curl -sf $platform/control/calls
start inventory bin/fakebackend serve -service inventory -count 18 -base $host:19000 -control $host:19900 -platform $platform
start dispatch bin/fakebackend serve -service dispatch -count 12 -base $host:19100 -control $host:19901 -platform $platform
for i in $(seq 0 $((instances - 1))); do
  settings "$i" >"$dir/$i.toml"
  start "entry-$i" bin/goldcreststand serve -settings "$dir/$i.toml"
done
for s in inventory dispatch; do
  printf 'kind,name,weight,limit,state\nversion,v1,100,0,active\n' >"$dir/$s.csv"
  ctl apply -platform $platform -service $s -file "$dir/$s.csv" -author demo
done
for i in $(seq 0 $((instances - 1))); do
  await "instance $i" curl -sf $host:$((18200 + i))/readyz
done
sleep 2
ctl status -admin "$admin"

section "load: inventory with bursts, dispatch, for 40 s in the background"
bin/goldload run -strict -timeline -instances "$traffic" -service inventory -rate 600 -time 40s -every 4s -factor 3 -tenants coordinators,planners >"$dir/inventory.txt" 2>&1 &
load1=$!
bin/goldload run -strict -timeline -instances "$traffic" -service dispatch -rate 200 -time 40s -writes 500 -tenants kiosks,receptionists >"$dir/dispatch.txt" 2>&1 &
load2=$!
loaded=$SECONDS
sleep 3

section "table edit"
time ctl set -platform $platform -service inventory -kind server -name inventory-v1-0 -weight 50 -author demo -admin "$admin" -wait

section "failure domain d2 out of service, then back"
time ctl domain -platform $platform -name d2 -state out -author demo -admin "$admin" -wait
sleep 4
time ctl domain -platform $platform -name d2 -state active -author demo -admin "$admin" -wait

section "kill of one instance"
kill -KILL "${pids[$((${#pids[@]} - 1))]}"
sleep 5

section "version rollout of inventory from v1 to v2"
start inventory-v2 bin/fakebackend serve -service inventory -version v2 -count 18 -base $host:19200 -control $host:19902 -platform $platform
await "version v2" curl -sf $host:19902/tally
ctl move -platform $platform -service inventory -from v1 -to v2 -by 25s -author demo
ctl progress -platform $platform -service inventory -wait -timeout 40s || true

section "report"
status=0
wait $load1 || status=1
wait $load2 || status=1
for s in inventory dispatch; do
  echo "-- $s"
  cat "$dir/$s.txt"
done
echo "-- calls at the backend servers; "doubled" are non-idempotent calls that ran twice, "violations" are calls above a server's slots"
for p in 19900 19901 19902; do curl -s $host:$p/tally && echo; done
echo "-- calls of the platform"
curl -s $platform/control/calls && echo
exit $status
