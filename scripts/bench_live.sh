#!/usr/bin/env bash
# Measures processes on loopback and prints rows of `area,metric,parameter,value,unit,target`: the
# processor time, memory and control traffic of an idle node, and the latency of calls through one
# and two nodes and of direct calls.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

rest_seconds=${REST_SECONDS:-20}
load_seconds=${LOAD_SECONDS:-4}
rates=${RATES:-"100 400 1600"}

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/{print $2}' "/proc/$1/status"; }
peer_bytes() {
  fetch "http://$(logged "$1" operators)/metrics" |
    awk '/^(peer|platform)_bytes/{sum += $2} END{print sum + 0}'
}

start_demo_system >/dev/null
submit_and_wait examples/rollos.json >/dev/null

node_pid=${pids[6]} # The first six processes are stand-ins.
ticks_before=$(cpu_ticks "$node_pid")
bytes_before=$(peer_bytes node-a)
sleep "$rest_seconds"
ticks=$(($(cpu_ticks "$node_pid") - ticks_before))
bytes=$(($(peer_bytes node-a) - bytes_before))
hertz=$(getconf CLK_TCK)
awk -v t="$ticks" -v h="$hertz" -v s="$rest_seconds" -v b="$bytes" -v m="$(resident_kb "$node_pid")" \
  'BEGIN {
    printf "node,at_rest_processor,nodes=2,%.2f,%% of a core,3.2\n", 100 * t / h / s
    printf "node,at_rest_memory,nodes=2,%.1f,MB,64\n", m / 1024
    printf "node,at_rest_control_traffic,nodes=2,%.2f,KB/s,3\n", b / s / 1000
  }'

# measure NAME RATE ADDRESS PATH: prints latency and failures of calls at RATE per second.
measure() {
  local line
  line=$("$bin/bench/load_tool" --address "$3" --path "$4" --rate "$2" \
    --calls $(($2 * load_seconds)) || true)
  for quantile in p50 p99; do
    echo "node,call_time_$1_$quantile,rate=$2,$(sed -n "s/.*${quantile}_us=\([0-9]*\).*/\1/p" <<<"$line"),us,"
  done
  echo "node,call_failures_$1,rate=$2,$(sed -n 's/.*failed=\([0-9]*\).*/\1/p' <<<"$line"),calls,0"
}

target=127.0.0.1:$(logged orders-1 port)
for rate in $rates; do
  measure direct "$rate" "$target" /status
  # The owner of a target calls it directly; the other node forwards the call to the owner.
  measure through_node_a "$rate" "$(logged node-a callers)" /v1/services/orders/status
  measure through_node_b "$rate" "$(logged node-b callers)" /v1/services/orders/status
done
ticks_before=$(cpu_ticks "$node_pid")
measure per_core 1600 "$(logged node-a callers)" /v1/services/orders/status >/dev/null
awk -v t="$(($(cpu_ticks "$node_pid") - ticks_before))" -v h="$hertz" -v c="$((1600 * load_seconds))" \
  'BEGIN { printf "node,calls_per_core_second,rate=1600,%.0f,calls,\n", c / (t / h) }'
