# Functions that start the system's processes on loopback and stop them on exit; sourced by scripts.
# shellcheck shell=bash

bin=${BUILD_DIR:-build}
standin=$bin/tests/standins/geraniumpulley_standin
daemon=$bin/packages/node/geraniumpulleyd
ctl=$bin/packages/ctl/geraniumpulleyctl
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

# wait_for WHAT COMMAND...: polls a condition for at most 20 s.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for $what" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

# start NAME COMMAND...: starts a process and waits until it logs event=started.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  wait_for "$name to start" grep -q event=started "$work/$name.log"
}

# logged NAME KEY: prints the value of a key of the line event=started.
logged() {
  sed -n "s/.*event=started.* $2=\([^ ]*\).*/\1/p" "$work/$1.log" | head -n 1
}

start_standin() { # start_standin NAME ROLE
  start "$1" "$standin" --role "$2"
}

start_node() { # start_node NAME DATA_CENTRE SEEDS
  cat >"$work/$1.json" <<JSON
{"node": "$1", "data_centre": "$2", "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
 "peers": "127.0.0.1:0", "platform": "http://127.0.0.1:$(logged platform port)", "seeds": [$3]}
JSON
  start "$1" "$daemon" --settings "$work/$1.json"
}

vm() { # vm NAME SERVICE DATA_CENTRE
  echo "{\"vm\": \"$1\", \"service\": \"$2\", \"address\": \"127.0.0.1:$(logged "$1" port)\"," \
    "\"data_centre\": \"$3\"}"
}

fetch() { curl -sS --max-time 10 "$@"; }

# start_demo_system: starts the stand-ins and two nodes of the rollos example, and lists the VMs.
start_demo_system() {
  start_standin platform platform
  start_standin engine-1 engine
  start_standin engine-2 engine
  start_standin orders-1 plain
  start_standin orders-2 plain
  start_standin scorer-1 scorer
  start_node node-a sala-bilbao ""
  start_node node-b sala-santander "\"$(logged node-a peers)\""
  fetch "http://127.0.0.1:$(logged platform port)/vms" \
    -d "{\"vms\": [$(vm engine-1 quoting-model sala-bilbao),
    $(vm engine-2 quoting-model sala-santander), $(vm orders-1 orders sala-bilbao),
    $(vm orders-2 orders sala-santander), $(vm scorer-1 quote-scorer sala-bilbao)]}" >/dev/null
}

# submit_and_wait FILE: submits a configuration to the first node and waits until both nodes are
# ready and know all nodes and targets.
submit_and_wait() {
  "$ctl" --server "http://$(logged node-a operators)" submit "$1" --author ines
  for node in node-a node-b; do
    wait_for "$node to be ready" fetch -f "http://$(logged $node operators)/readyz"
    wait_for "$node to know all" grep -q "event=view_changed nodes=2 targets=5" "$work/$node.log"
  done
}
