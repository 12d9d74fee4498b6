#!/usr/bin/env bash
# Runs the mixed load under one policy at one load and prints one JSON line.
#
#   BIN=build testing/policy.sh POLICY LOAD SEED [SECONDS]
#
# Ten workers of eight slots; two teams of calls take 25 slots on average, three
# teams of batch jobs the rest of LOAD times 80. Tasks of jobs are short, so that
# waiting comes from the queue and not from the length of tasks.
set -u
POLICY=$1 LOAD=$2 SEED=$3 SECONDS_=${4:-20}
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
CLUSTER_SETTINGS="policy.name=$POLICY"
source examples/cluster.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT
cluster_start "$DIR" testing/chaos-fleet.ini 3 > /dev/null || exit 2
submit_ticket testing/policy-ticket.ini "$DIR/ticket.ini" > /dev/null || exit 2
cluster_wait_ready || exit 2
sleep 2.6
JOBS=$(awk -v l="$LOAD" 'BEGIN {print (l * 80 - 25) / 3 / 8}')
{
  printf '[run]\nseconds = %s\nwarm_up_s = 5\nseed = %s\n' "$SECONDS_" "$SEED"
  printf '[team desk]\nkey = desk-secret\nshare = 4\nservice = tablets\ncalls_per_s = 300\nrun_ms = 50\nidempotent_percent = 50\nurgent_percent = 2\n'
  printf '[team photos]\nkey = photos-secret\nshare = 2\nservice = tablets\ncalls_per_s = 50\nrun_ms = 200\nidempotent_percent = 50\n'
  for team in nightly:1 reports:2 research:3; do
    printf '[team %s]\nkey = %s-secret\nshare = %s\nservice = tablets\njobs_per_s = %s\njob_tasks = 20\njob_run_ms = 400\n' \
      "${team%%:*}" "${team%%:*}" "${team##*:}" "$JOBS"
  done
} > "$DIR/load.ini"
"$BIN/lentilload" --experiment="$DIR/load.ini" --entries="$ENTRY_ADDRESSES" --workers="$WORKERS" \
  --operator-key="$OPERATOR_KEY" --record="$DIR/load.jsonl" --result="$DIR/result.json" || exit 2
VERDICT=$("$BIN/judge" --workers="$DIR/workers.jsonl" --platform="$DIR/platform.jsonl" --load="$DIR/load.jsonl" --graceful)
echo "{\"policy\":\"$POLICY\",\"load\":$LOAD,\"seed\":$SEED,\"violations\":$(echo "$VERDICT" | sed 's/.*"total":\([0-9]*\).*/\1/'),\"result\":$(cat "$DIR/result.json")}"
