#!/usr/bin/env bash
# Runs the whole path on loopback: two nodes, stand-ins, an operator, an application call and a
# trainer's step. Ends by itself with exit 0 when all three came through.
set -euo pipefail
cd "$(dirname "$0")/.."
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
  echo "demo: gave up waiting for $what" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" 2>"$work/$name.log" &
  pids+=($!)
  wait_for "$name to start" grep -q event=started "$work/$name.log"
}

logged() { # logged NAME KEY: the value of a key of the started line
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

echo "== starting stand-ins and two nodes"
start_standin platform platform
start_standin engine-1 engine
start_standin engine-2 engine
start_standin orders-1 plain
start_standin orders-2 plain
start_standin scorer-1 scorer
start_node node-a sala-bilbao ""
start_node node-b sala-santander "\"$(logged node-a peers)\""
platform=http://127.0.0.1:$(logged platform port)
fetch "$platform/vms" -d "{\"vms\": [$(vm engine-1 quoting-model sala-bilbao),
  $(vm engine-2 quoting-model sala-santander), $(vm orders-1 orders sala-bilbao),
  $(vm orders-2 orders sala-santander), $(vm scorer-1 quote-scorer sala-bilbao)]}" >/dev/null

echo "== 1. an operator submits the text, and every node follows it"
"$ctl" check examples/rollos.json
"$ctl" --server "http://$(logged node-a operators)" submit examples/rollos.json --author ines
for node in node-a node-b; do
  wait_for "$node to be ready" fetch -f "http://$(logged $node operators)/readyz"
  wait_for "$node to know all" grep -q "event=view_changed nodes=2 targets=5" "$work/$node.log"
  "$ctl" --server "http://$(logged $node operators)" status
done
"$ctl" --server "http://$(logged node-b operators)" audit

echo "== 2. application calls enter at node A and at node B and come back whole"
for node in node-a node-b; do
  for call in 1 2 3; do
    answer=$(fetch -D "$work/headers" -H 'X-Customer: depot-3' \
      -d "{\"order\": \"$node-$call\"}" "http://$(logged $node callers)/v1/services/orders/book")
    echo "$node: $answer"
    grep -qi '^x-outcome: ran' "$work/headers"
    grep -q "$node-$call" <<<"$answer"
  done
done

echo "== 3. a trainer opens a step and gets a labelled, scored batch once"
callers=http://$(logged node-b callers)
fetch "$callers/v1/steps" -d '{"trainer": "plotter-quotes", "step": 1, "group_size": 4,
  "prompts": ["A1 roll, 90 g", "A0 roll, 120 g", "vellum"], "max_tokens": 64,
  "trainer_version": 1}'
echo
step=$callers/v1/steps/plotter-quotes/1
batch_is_ready() { fetch "$step?trainer_version=1&wait_ms=5000" >"$work/batch" && grep -q '"state":"ready"' "$work/batch"; }
wait_for "the batch" batch_is_ready
head -c 400 "$work/batch"
echo " ..."
[ "$(grep -o '"reward"' "$work/batch" | wc -l)" = 12 ]
[ "$(grep -o '"incarnation"' "$work/batch" | wc -l)" -ge 12 ]
digest=$(sed 's/.*"digest":"\([^"]*\)".*/\1/' "$work/batch")
fetch "$step/ack" -d "{\"digest\": \"$digest\"}"
echo
fetch "$step" | grep -q '"state":"acknowledged"'
echo "== all three steps came through"
