# Functions that the demo and the fault run share. The scripts are run from the root of the project.

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

start_deployment() {
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
}
