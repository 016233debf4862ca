# The part of the demonstration on the users' platform; sourced by demo.sh.
# shellcheck shell=bash

# write_row TABLE KEY VALUE: writes a row in the way that operators and workers do.
write_row() {
  fetch "http://127.0.0.1:$(logged rows port)/-/rows-tx" -d "{\"expected\":[],\"remove\":[],\"writes\":[
    {\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(base64 -w0 <<<"$3")\"}]}" >/dev/null
}

start_worker() { # start_worker NAME SERVICE MODEL
  start_standin "$1" worker
  fetch "http://127.0.0.1:$(logged "$1" port)/_worker" -d "{\"id\":\"$1\",\"model\":\"$3\"}" >/dev/null
  write_row servers "$1" "{\"service\":\"$2\",\"address\":\"127.0.0.1:$(logged "$1" port)\",
    \"zone\":\"zone\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"sequence\":0,
    \"models\":[{\"name\":\"$3\",\"version\":1}]}"
}

echo "== 5. the users' platform: two nodes beside its table service and workers"
start_standin rows rows
write_row op config "$(cat examples/platform_routing.json)"
start_worker orders-app orders ""
start_worker quote-engine engines m
for node in entry-a entry-b; do
  cat >"$work/$node.json" <<JSON
{"interface": "platform", "node": "$node", "data_centre": "zone", "callers": "127.0.0.1:0",
 "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0", "store": "127.0.0.1:$(logged rows port)"}
JSON
  start "$node" "$daemon" --settings "$work/$node.json"
  wait_for "$node to be ready" fetch -f "http://$(logged "$node" readiness)/-/readyz"
done
site=(-H 'Host: site.example')
fetch "${site[@]}" -H 'X-Attempt-Id: call-1' -d 'A1 roll' "http://$(logged entry-a callers)/lookup/17"
echo
fetch -f "${site[@]}" -H 'X-Attempt-Id: batch-1' -d @examples/platform_batch.json \
  "http://$(logged entry-a callers)/samples/1"
echo
batch_is_complete() {
  fetch "${site[@]}" "http://$(logged entry-b callers)/-/lots/batch-1?after=0" >"$work/results" &&
    [ "$(grep -o '"completed"' "$work/results" | wc -l)" = 2 ]
}
wait_for "the batch's results at the other node" batch_is_complete
head -c 300 "$work/results"
echo
fetch -f "${site[@]}" -X DELETE "http://$(logged entry-b callers)/-/lots/batch-1"
echo
