#!/usr/bin/env bash
# Prints the cost of the hop through an entry instance; see hop_benchmark.cc.
set -u
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
source examples/cluster.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT
cluster_start "$DIR" testing/chaos-fleet.ini 1 > /dev/null || exit 2
submit_ticket testing/policy-ticket.ini "$DIR/ticket.ini" > /dev/null || exit 2
cluster_wait_ready || exit 2
WORKER=$(grep -o '"address":"[^"]*"' "$DIR/platform.jsonl" | head -1 | cut -d'"' -f4)
"$BIN/hop_benchmark" "$ENTRY_ADDRESSES" "$WORKER" desk-secret tablets 3000
