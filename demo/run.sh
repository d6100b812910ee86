#!/usr/bin/env bash
# Runs a small deployment on loopback: the platform's stand-in, backend servers of two services, eight
# instances in four failure domains. Puts load on it while a table is edited, a failure domain is taken
# out and brought back, an instance is killed and a version rollout runs. Prints a report and stops
# everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

. demo/common.sh

start_deployment
sleep 2
ctl status -admin "$admin"
ctl members -admin "$admin"

section "load: inventory with bursts, dispatch, for 40 s in the background"
bin/goldload run -forbid wrong,broken -timeline -instances "$traffic" -service inventory -rate 600 -time 40s -every 4s -factor 3 -tenants coordinators,planners >"$dir/inventory.txt" 2>&1 &
load1=$!
pids+=("$load1")
bin/goldload run -forbid wrong,broken -timeline -instances "$traffic" -service dispatch -rate 200 -time 40s -writes 500 -tenants kiosks,receptionists >"$dir/dispatch.txt" 2>&1 &
load2=$!
pids+=("$load2")
loaded=$SECONDS
sleep 3

section "table edit"
time ctl set -platform $platform -service inventory -kind server -name inventory-v1-0 -weight 50 -author demo -admin "$admin" -wait

section "failure domain d2 out of service, then back"
time ctl domain -platform $platform -name d2 -state out -author demo -admin "$admin" -wait
sleep 4
time ctl domain -platform $platform -name d2 -state active -author demo -admin "$admin" -wait

section "kill of one instance"
kill -KILL "${pids[$((2 + instances))]}"
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
