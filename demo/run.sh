#!/usr/bin/env bash
# Runs a small deployment on loopback: the fake platform, fake backend servers of two services, and eight
# instances in four failure domains. Generates load while a routing table is edited, a failure domain is
# taken out of service and back, an instance is killed and a version rollout runs. Prints a report and
# stops all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

. demo/common.sh

start_deployment
sleep 2
ctl status -admin "$admin"
ctl members -admin "$admin"

section "start of the load: inventory with bursts, dispatch without, for 40 s in the background"
bin/goldload run -forbid wrong,broken -timeline -instances "$traffic" -service inventory -rate 600 -time 40s -every 4s -factor 3 -tenants coordinators,planners >"$dir/inventory.txt" 2>&1 &
inventory_load=$!
pids+=("$inventory_load")
bin/goldload run -forbid wrong,broken -timeline -instances "$traffic" -service dispatch -rate 200 -time 40s -writes 500 -tenants kiosks,receptionists >"$dir/dispatch.txt" 2>&1 &
dispatch_load=$!
pids+=("$dispatch_load")
load_start=$SECONDS
sleep 3

section "routing table edit"
time ctl set -platform $platform -service inventory -kind server -name inventory-v1-0 -weight 50 -author demo -admin "$admin" -wait

section "failure domain d2 out of service, then active again"
time ctl domain -platform $platform -name d2 -state out -author demo -admin "$admin" -wait
sleep 4
time ctl domain -platform $platform -name d2 -state active -author demo -admin "$admin" -wait

section "kill of one instance"
kill -KILL "${pids[$((2 + instances))]}"
sleep 5

section "version rollout of inventory from v1 to v2"
start_process inventory-v2 bin/fakebackend serve -service inventory -version v2 -count 18 -base $host:19200 -control $host:19902 -platform $platform
wait_until "version v2" curl -sf $host:19902/tally
ctl move -platform $platform -service inventory -from v1 -to v2 -by 25s -author demo
ctl progress -platform $platform -service inventory -wait -timeout 40s || true

section "report"
status=0
wait $inventory_load || status=1
wait $dispatch_load || status=1
for s in inventory dispatch; do
  echo "-- $s"
  cat "$dir/$s.txt"
done
echo "-- counters of the backend servers; 'doubled' counts repeated executions of calls that are not safe, 'violations' counts calls above a server's slots"
for p in 19900 19901 19902; do curl -s $host:$p/tally && echo; done
echo "-- calls to the fake platform"
curl -s $platform/control/calls && echo
exit $status
