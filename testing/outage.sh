#!/usr/bin/env bash
# Prints how many calls are answered per second while the store is down, against
# the rest of the same run, and the retries per fresh call.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
source examples/cluster.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT
cluster_start "$DIR" testing/chaos-fleet.ini 3 > /dev/null || exit 2
submit_ticket testing/policy-ticket.ini "$DIR/ticket.ini" > /dev/null || exit 2
cluster_wait_ready || exit 2
sleep 2.6
"$BIN/lentilload" --experiment=testing/outage.ini --entries="$ENTRY_ADDRESSES" --platform="$PLATFORM" \
  --workers="$WORKERS" --operator-key="$OPERATOR_KEY" --record="$DIR/load.jsonl" --result="$DIR/result.json" || exit 2
"$BIN/judge" --workers="$DIR/workers.jsonl" --platform="$DIR/platform.jsonl" --load="$DIR/load.jsonl" --graceful
for port in "${ENTRY_PORTS[@]}"; do curl -s "http://127.0.0.1:$port/metrics"; done |
  awk '$1 == "lentilscale_retries_total" {r += $2} $1 == "lentilscale_calls_accepted_total" {c += $2} END {print "retries per fresh call:", r / c}'
sed 's/.*"answered_by_second":\[\([0-9,]*\)\].*/\1/' "$DIR/result.json" |
  awk -F, '{for (i = 3; i <= 8; i++) a += $i; for (i = 10; i <= 16; i++) b += $i; print "answered per second before:", a / 6, "while down:", b / 7, "ratio:", (b / 7) / (a / 6)}'
grep -o '"outcomes":{[^}]*}' "$DIR/result.json"
