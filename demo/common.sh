# Functions that the demo and the fault tests share. Run the scripts from the root of the repository.

readonly instances=8
readonly host=127.0.0.1
readonly platform=http://$host:17000
dir=$(mktemp -d)
pids=()

# cleanup ends all started processes and removes the directory of their logs and settings.
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

# start_process runs a command in the background with its output in a log file.
start_process() { # log command...
  local log=$1
  shift
  "$@" >"$dir/$log.log" 2>&1 &
  pids+=($!)
}

# wait_until repeats a command until it succeeds, for about 10 s at most.
wait_until() { # what command...
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

# instance_settings prints the settings file of an instance.
instance_settings() { # number
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

section() { printf '\n== %s (second %d of the load)\n' "$*" $((SECONDS - ${load_start:-SECONDS})); }

ctl() { bin/goldctl "$@"; }

traffic=$(seq -s, -f "$host:%g" 18000 $((18000 + instances - 1)))
admin=$(seq -s, -f "$host:%g" 18200 $((18200 + instances - 1)))

start_deployment() {
  section "start of the fake platform, 18 + 12 backend servers and $instances instances"
  start_process platform bin/fakeplatform serve -listen $host:17000
  wait_until platform curl -sf $platform/control/calls
  start_process inventory bin/fakebackend serve -service inventory -count 18 -base $host:19000 -control $host:19900 -platform $platform
  start_process dispatch bin/fakebackend serve -service dispatch -count 12 -base $host:19100 -control $host:19901 -platform $platform
  for i in $(seq 0 $((instances - 1))); do
    instance_settings "$i" >"$dir/$i.toml"
    start_process "entry-$i" bin/goldcreststand serve -settings "$dir/$i.toml"
  done
  for s in inventory dispatch; do
    printf 'kind,name,weight,limit,state\nversion,v1,100,0,active\n' >"$dir/$s.csv"
    ctl apply -platform $platform -service $s -file "$dir/$s.csv" -author demo
  done
  for i in $(seq 0 $((instances - 1))); do
    wait_until "instance $i" curl -sf $host:$((18200 + i))/readyz
  done
}
