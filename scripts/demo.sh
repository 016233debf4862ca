#!/usr/bin/env bash
# Runs the demonstration on loopback: two nodes with stand-ins, an operator's submission,
# application calls, a trainer's step, a planned stop and the users' platform. Exits with 0 when
# all succeed.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

echo "== starting stand-ins and two nodes"
start_demo_system

echo "== 1. an operator submits a configuration and every node applies it"
"$ctl" check examples/rollos.json
submit_and_wait examples/rollos.json
for node in node-a node-b; do
  "$ctl" --server "http://$(logged $node operators)" status
done
"$ctl" --server "http://$(logged node-b operators)" audit

echo "== 2. application calls through node A and node B are answered"
for node in node-a node-b; do
  for call in 1 2 3; do
    answer=$(fetch -D "$work/headers" -H 'X-Customer: depot-3' \
      "http://$(logged $node callers)/v1/services/orders/status/$node-$call")
    echo "$node: $answer"
    grep -qi '^x-outcome: ran' "$work/headers"
    grep -q "$node-$call" <<<"$answer"
  done
done

echo "== 2b. a booking runs once, and its retry through the other node gets the same answer"
key="$(date +%s)-demo-booking"
book() { # book NODE
  fetch -D "$work/headers" -H 'X-Customer: depot-3' -H "Idempotency-Key: $key" \
    -d '{"order": "A1 roll"}' "http://$(logged "$1" callers)/v1/services/orders/book" \
    >"$work/answer" && grep -qi '^x-outcome: ran' "$work/headers"
}
wait_for "the first booking" book node-a
cp "$work/answer" "$work/first"
cat "$work/first"
echo
wait_for "the retry's answer" book node-b
cmp "$work/first" "$work/answer"
for service in orders-1 orders-2; do
  fetch "http://127.0.0.1:$(logged $service port)/_ledger" >>"$work/ledgers"
done
runs=$(grep -o 'A1 roll' "$work/ledgers" | wc -l)
echo "ran $runs time(s)"
[ "$runs" = 1 ]

echo "== 2c. a booking with a malformed key is refused as not run"
fetch -D "$work/headers" -H 'X-Customer: depot-3' -H 'Idempotency-Key: no-age' \
  -d '{"order": "plain"}' "http://$(logged node-a callers)/v1/services/orders/book"
echo
grep -qi '^x-reason: bad_request' "$work/headers"

echo "== 3. a trainer opens a step, fetches its scored batch and acknowledges it"
callers=http://$(logged node-b callers)
# Refused with 503 until a node holds the lease of the trainer's steps.
wait_for "the step to open" fetch -f "$callers/v1/steps" -d '{"trainer": "plotter-quotes",
  "step": 1, "group_size": 4, "prompts": ["A1 roll, 90 g", "A0 roll, 120 g", "vellum"],
  "max_tokens": 64, "trainer_version": 1}'
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
echo "== 4. a planned stop of node B ends with exit 0 after the calls in flight"
node_pid=${pids[-1]}
kill -TERM "$node_pid"
wait "$node_pid"
grep -q "event=drained in_time=true" "$work/node-b.log"

source scripts/demo_platform.sh

echo "== all steps succeeded"
