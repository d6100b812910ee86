#!/usr/bin/env bash
# Brings about the failures that the system has to bear, one after the other, with load on a small
# deployment on loopback, and checks what must hold: no response is wrong, no call that is not idempotent
# runs twice, no backend server holds more calls than its slots. Prints the calls' verdicts for each failure.
set -euo pipefail
cd "$(dirname "$0")/.."

. demo/common.sh

seed=100
status=0
table=(-platform "$platform" -service inventory -author demo)

failed() {
  echo "FAILED: $*"
  status=1
}

# under runs a command while load runs, two seconds after the load's start.
under() { # seconds forbidden-verdicts command...
  local time=$1 forbid=$2
  shift 2
  seed=$((seed + 1))
  bin/goldload run -forbid "$forbid" -timeline -instances "$traffic" -service inventory -rate 500 -time "${time}s" -seed $seed >"$dir/load.txt" 2>&1 &
  local load=$!
  pids+=("$load")
  sleep 2
  "$@"
  wait $load || failed "load: $(tail -n 1 "$dir/load.txt")"
  cat "$dir/load.txt"
  check_tally
}

# check_tally fails when a count of the backend servers that must stay 0 does not.
check_tally() {
  for p in 19900 19902; do
    curl -s $host:$p/tally >"$dir/tally.json" || continue
    echo "tally of $p: $(cat "$dir/tally.json")"
    grep -q '"doubled":0' "$dir/tally.json" || failed "a call that is not idempotent ran twice"
    grep -q '"violations":0' "$dir/tally.json" || failed "a backend server held more calls than its slots"
  done
}

platform_faults() { curl -sf -X PUT -H 'Content-Type: application/json' -d "$1" $platform/control/faults; }

backend_faults() { # server json
  curl -sf -X PUT -H 'Content-Type: application/json' -d "$2" $host:19900/faults/"$1"
}

# timed runs an edit that waits until it is in force and checks the target of 8 s.
edit_in_force() {
  local from=$SECONDS
  ctl set "${table[@]}" -kind server -name inventory-v1-0 -weight "$1" -admin "$admin" -wait -timeout 8s 2>/dev/null ||
    failed "edit was not in force within 8 s"
  echo "in force after $((SECONDS - from)) s"
}

outage() {
  platform_faults "{\"outage\":\"$1\"}"
  if timeout 8 bin/goldctl set "${table[@]}" -kind server -name inventory-v1-0 -weight 10; then failed "edit was accepted during the outage"; fi
  sleep 3
  platform_faults '{}'
  edit_in_force 70
}

lost() {
  platform_faults '{"lost":1000}'
  ctl set "${table[@]}" -kind server -name inventory-v1-0 -weight 60 || failed "a write whose response was lost was not recognised"
  platform_faults '{}'
  ctl get -platform $platform -service inventory | grep -q 'inventory-v1-0,60' || failed "the edit is missing"
}

freeze() {
  kill -STOP "$1"
  sleep 6
  kill -CONT "$1"
}

newcomer() {
  platform_faults '{"outage":"silent"}'
  kill -TERM "${entries[0]}"
  wait "${entries[0]}" && echo "instance 0 ended with exit code 0" || failed "instance 0 ended with exit code $?"
  start entry-0b bin/goldcreststand serve -settings "$dir/0.toml"
  for _ in $(seq 150); do
    if curl -sf $host:18200/readyz >/dev/null; then
      echo "an instance that started during the outage serves"
      break
    fi
    sleep 0.1
  done
  curl -sf $host:18200/readyz >/dev/null || failed "an instance that started during the outage does not serve"
  platform_faults '{}'
}

domain_killed() {
  kill -KILL "${entries[2]}" "${entries[6]}"
  sleep 5
  start entry-2b bin/goldcreststand serve -settings "$dir/2.toml"
  start entry-6b bin/goldcreststand serve -settings "$dir/6.toml"
}

servers_bad() {
  backend_faults inventory-v1-1 '{"slow":30}'
  backend_faults inventory-v1-2 '{"fail":1000}'
  backend_faults inventory-v1-3 '{"close":500}'
  backend_faults inventory-v1-4 '{"truncate":500}'
  backend_faults inventory-v1-5 '{"shed":1000}'
  backend_faults inventory-v1-6 '{"cold":true}'
  backend_faults inventory-v1-7 '{"late":300}'
  backend_faults inventory-v1-8 '{"crossed":300}'
  sleep 5
  for n in 1 2 3 4 5 6 7 8; do backend_faults inventory-v1-$n '{}'; done
}

silent() {
  curl -sf -X PUT -H 'Content-Type: application/json' -d '{"silent":true}' $host:19900/faults
  sleep 1
  curl -sf -X PUT -H 'Content-Type: application/json' -d '{}' $host:19900/faults
}

bad_version() { # faults
  curl -sf -X PUT -H 'Content-Type: application/json' -d "$1" $host:19902/faults
  ctl move "${table[@]}" -from v1 -to v2 -by 60s
  if ctl progress -platform $platform -service inventory -wait -timeout 20s; then failed "the bad version was not rolled back"; fi
}

start_deployment
entries=("${pids[@]:3:$instances}")
section "instances"
ctl status -admin "$admin"

section "platform down: errors"
under 20 wrong,broken outage error
section "platform down: no responses"
under 25 wrong,broken outage silent
section "platform: responses lost after the write"
under 8 wrong,broken lost
section "instance frozen for 6 s"
under 16 wrong freeze "${entries[3]}"
section "instance replaced during an outage of the platform"
under 25 wrong newcomer
section "both instances of a failure domain killed and started again"
under 20 wrong domain_killed
section "eight of 18 backend servers faulty"
# By contract a truncated response of a server ends in a broken connection to its caller.
under 14 wrong servers_bad
section "all open connections to backend servers silent"
under 10 wrong,broken silent
section "bad version: a third of its calls fails"
start inventory-v2 bin/fakebackend serve -service inventory -version v2 -count 18 -base $host:19200 -control $host:19902 -platform $platform
await "version v2" curl -sf $host:19902/tally
under 25 wrong,broken bad_version '{"fail":300}'
section "bad version: slow by a factor of ten after 5 s"
under 30 wrong,broken bad_version '{"slow":10,"after":"5s"}'

[ $status = 0 ] && echo "all checks passed"
exit $status
