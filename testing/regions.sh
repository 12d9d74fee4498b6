#!/usr/bin/env bash
# Higienik's fleet of today behind the fault proxy with the second region 8 ms
# away, at a rising rate of calls; prints one JSON line per rate.
#
# The links to the far instance and from it to the store are late by 8 ms; links
# are by destination, so calls from the far instance to the home region are not.
set -u
cd "$(dirname "$0")/.."
CLUSTER_PROXY=1
source examples/cluster.sh
for rate in ${RATES:-300 900 1500 2100}; do
  DIR=$(mktemp -d)
  cluster_start "$DIR" examples/fleet-higienik.ini 3 > /dev/null || exit 2
  submit_ticket examples/tickets-higienik.ini "$DIR/ticket.ini" > /dev/null || exit 2
  cluster_wait_ready || exit 2
  for link in peer-2 store-2; do
    curl -s -X POST "http://$PROXY/fake/fault" -d "{\"link\":\"$link\",\"kind\":\"delay\",\"value\":8}" > /dev/null
  done
  sleep 2.6
  printf '[run]\nseconds = 10\nwarm_up_s = 2\nseed = 1\n' > "$DIR/load.ini"
  for team in kitchens hotels inspectors; do
    printf '[team %s]\nkey = %s-secret\nservice = tablets\ncalls_per_s = %s\nrun_ms = 40\nidempotent_percent = 50\n' "$team" "$team" $((rate / 3)) >> "$DIR/load.ini"
  done
  "$BIN/lentilload" --experiment="$DIR/load.ini" --entries="$ENTRY_ADDRESSES" --workers="$WORKERS" \
    --operator-key="$OPERATOR_KEY" --record="$DIR/load.jsonl" --result="$DIR/result.json" || exit 2
  cluster_stop
  VERDICT=$("$BIN/judge" --workers="$DIR/workers.jsonl" --platform="$DIR/platform.jsonl" --load="$DIR/load.jsonl" --graceful)
  echo "{\"offered_per_s\":$rate,\"violations\":$(echo "$VERDICT" | sed 's/.*"total":\([0-9]*\).*/\1/'),\"result\":$(cat "$DIR/result.json")}"
  rm -rf "$DIR"
done
