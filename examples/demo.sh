#!/usr/bin/env bash
# Shows both users' fleets of today: tickets, calls, batch and all-at-once jobs
# and a service, through three entry instances. Reports go to out/.
set -u
cd "$(dirname "$0")/.."
source examples/cluster.sh
mkdir -p out
DIR=$(mktemp -d)
trap 'cluster_stop; rm -rf "$DIR"' EXIT

show() {
  local user=$1 team=$2 service=$3
  echo "== $user: 48 workers in three data centres, 3 entry instances"
  cluster_start "$DIR/$user" "examples/fleet-$user.ini" 3 || exit 1
  submit_ticket "examples/tickets-$user.ini" "$DIR/$user/ticket.ini" || exit 1
  cluster_wait_ready || exit 1
  sleep 2.6 # new shards take requests that are not idempotent from here on
  caller() { "$BIN/lentilctl" --address="$ENTRY_ADDRESSES" --key="$team-secret" "$@"; }
  echo "-- a call"
  caller call "$service" '{"work":{"run_ms":20,"echo":"checked"}}'
  echo "-- a call that runs at most once, sent twice"
  local request="{\"idempotent\":false,\"request_id\":\"tick-1\",\"issued_ms\":$(date +%s%3N),\"attempt\":1,\"work\":{\"run_ms\":20}}"
  caller call "$service" "$request"
  caller call "$service" "${request/\"attempt\":1/\"attempt\":2}"
  echo "-- a batch job and an all-at-once job"
  echo "{\"job_id\":\"batch\",\"service\":\"$service\",\"count\":40,\"work\":{\"run_ms\":300}}" > "$DIR/batch.json"
  echo "{\"job_id\":\"together\",\"service\":\"$service\",\"kind\":\"all_at_once\",\"count\":24,\"work\":{\"run_ms\":300}}" > "$DIR/together.json"
  caller job submit "$DIR/batch.json" && caller job watch batch | tail -1
  caller job submit "$DIR/together.json" && caller job watch together | tail -1
  echo "-- the user's load of today for twenty seconds"
  "$BIN/lentilload" --experiment="examples/$user.ini" --entries="$ENTRY_ADDRESSES" --platform="$PLATFORM" \
    --workers="$WORKERS" --operator-key="$OPERATOR_KEY" --record="$DIR/$user/load.jsonl" \
    --result="out/$user.json" --report="out/$user.html" --progress
  cluster_stop
  "$BIN/judge" --workers="$DIR/$user/workers.jsonl" --platform="$DIR/$user/platform.jsonl" \
    --load="$DIR/$user/load.jsonl" --graceful || exit 1
  echo "results: out/$user.json, out/$user.html"
}

show higienik kitchens tablets
show vidyayatra routedesk routes
