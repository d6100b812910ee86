#!/usr/bin/env bash
# Injects one failure after another into a small deployment under load on loopback, and checks that no
# response is wrong, that no call that is not idempotent is executed twice, and that no backend server has
# more calls in flight than slots. Prints the verdicts of the calls for each failure.
set -euo pipefail
cd "$(dirname "$0")/.."

. demo/common.sh

seed=100
status=0
table_args=(-platform "$platform" -service inventory -author demo)

fail_check() {
  echo "FAILED: $*"
  status=1
}

# run_under_load generates load and runs a command two seconds after its start.
run_under_load() { # seconds forbidden-verdicts command...
  local duration=$1 forbid=$2
  shift 2
  seed=$((seed + 1))
  bin/goldload run -forbid "$forbid" -timeline -instances "$traffic" -service inventory -rate 500 -time "${duration}s" -seed $seed >"$dir/load.txt" 2>&1 &
  local load=$!
  pids+=("$load")
  sleep 2
  "$@"
  wait $load || fail_check "load: $(tail -n 1 "$dir/load.txt")"
  cat "$dir/load.txt"
  check_tally
}

# check_tally fails if the backend servers counted calls that were executed twice or were above the slots.
check_tally() {
  for p in 19900 19902; do
    curl -s $host:$p/tally >"$dir/tally.json" || continue
    echo "tally of $p: $(cat "$dir/tally.json")"
    grep -q '"doubled":0' "$dir/tally.json" || fail_check "a call that is not idempotent was executed twice"
    grep -q '"violations":0' "$dir/tally.json" || fail_check "a backend server had more calls in flight than slots"
  done
}

platform_faults() { curl -sf -X PUT -H 'Content-Type: application/json' -d "$1" $platform/control/faults; }

backend_faults() { # server json
  curl -sf -X PUT -H 'Content-Type: application/json' -d "$2" $host:19900/faults/"$1"
}

# check_edit_time edits the routing table and checks that the edit is in force within the target of 8 s.
check_edit_time() {
  local start=$SECONDS
  ctl set "${table_args[@]}" -kind server -name inventory-v1-0 -weight "$1" -admin "$admin" -wait -timeout 8s 2>/dev/null ||
    fail_check "edit was not in force within 8 s"
  echo "in force after $((SECONDS - start)) s"
}

platform_outage() {
  platform_faults "{\"outage\":\"$1\"}"
  if timeout 8 bin/goldctl set "${table_args[@]}" -kind server -name inventory-v1-0 -weight 10; then fail_check "edit was accepted during the outage"; fi
  sleep 3
  platform_faults '{}'
  check_edit_time 70
}

lost_responses() {
  platform_faults '{"lost":1000}'
  ctl set "${table_args[@]}" -kind server -name inventory-v1-0 -weight 60 || fail_check "a write with a lost response was not recognised as done"
  platform_faults '{}'
  ctl get -platform $platform -service inventory | grep -q 'inventory-v1-0,60' || fail_check "the edit is missing"
}

suspend_process() {
  kill -STOP "$1"
  sleep 6
  kill -CONT "$1"
}

replace_instance_during_outage() {
  platform_faults '{"outage":"silent"}'
  kill -TERM "${instance_pids[0]}"
  wait "${instance_pids[0]}" && echo "instance 0 exited with exit code 0" || fail_check "instance 0 exited with exit code $?"
  start_process entry-0b bin/goldcreststand serve -settings "$dir/0.toml"
  for _ in $(seq 150); do
    if curl -sf $host:18200/readyz >/dev/null; then
      echo "an instance that started during the outage is ready"
      break
    fi
    sleep 0.1
  done
  curl -sf $host:18200/readyz >/dev/null || fail_check "an instance that started during the outage is not ready"
  platform_faults '{}'
}

kill_domain() {
  kill -KILL "${instance_pids[2]}" "${instance_pids[6]}"
  sleep 5
  start_process entry-2b bin/goldcreststand serve -settings "$dir/2.toml"
  start_process entry-6b bin/goldcreststand serve -settings "$dir/6.toml"
}

faulty_servers() {
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

# leaving_and_pausing_servers checks that calls move away from servers that leave or ask for a pause. Servers that leave
# do not come back before they start again.
leaving_and_pausing_servers() {
  local before
  backend_faults inventory-v1-5 '{"shed":1000,"pause":"3s"}'
  backend_faults inventory-v1-9 '{"leaving":true}'
  sleep 2
  before=$(executed inventory-v1-9)
  sleep 3
  [ "$(executed inventory-v1-9)" = "$before" ] || fail_check "a server that is leaving got calls"
  for n in 5 9; do backend_faults inventory-v1-$n '{}'; done
}

executed() { # server
  curl -sf $host:19900/tally/"$1" | sed 's/.*"executed":\([0-9]*\).*/\1/'
}

silent_connections() {
  curl -sf -X PUT -H 'Content-Type: application/json' -d '{"silent":true}' $host:19900/faults
  sleep 1
  curl -sf -X PUT -H 'Content-Type: application/json' -d '{}' $host:19900/faults
}

faulty_version() { # faults
  curl -sf -X PUT -H 'Content-Type: application/json' -d "$1" $host:19902/faults
  ctl move "${table_args[@]}" -from v1 -to v2 -by 60s
  if ctl progress -platform $platform -service inventory -wait -timeout 20s; then fail_check "the faulty version was not rolled back"; fi
}

start_deployment
instance_pids=("${pids[@]:3:$instances}")
section "instances"
ctl status -admin "$admin"

section "platform outage with error responses"
run_under_load 20 wrong,broken platform_outage error
section "platform outage without responses"
run_under_load 25 wrong,broken platform_outage silent
section "platform writes with lost responses"
run_under_load 8 wrong,broken lost_responses
section "instance suspended for 6 s"
run_under_load 16 wrong suspend_process "${instance_pids[3]}"
section "instance replaced during a platform outage"
run_under_load 25 wrong replace_instance_during_outage
section "both instances of a failure domain killed and restarted"
run_under_load 20 wrong kill_domain
section "eight of 18 backend servers faulty"
# Broken connections are allowed here: a truncated response of a server closes the connection to the caller.
run_under_load 14 wrong faulty_servers
section "one backend server leaves, one asks for pauses"
run_under_load 10 wrong,broken leaving_and_pausing_servers
section "all open connections to backend servers silent"
run_under_load 10 wrong,broken silent_connections
section "rollout of a faulty version: 30% of its calls fail"
start_process inventory-v2 bin/fakebackend serve -service inventory -version v2 -count 18 -base $host:19200 -control $host:19902 -platform $platform
wait_until "version v2" curl -sf $host:19902/tally
run_under_load 25 wrong,broken faulty_version '{"fail":300}'
section "rollout of a faulty version: ten times slower after 5 s"
run_under_load 30 wrong,broken faulty_version '{"slow":10,"after":"5s"}'

[ $status = 0 ] && echo "all checks passed"
exit $status
