#!/usr/bin/env bash
# Measures what control costs at several sizes and prints one JSON line each:
#
#   BIN=build testing/capacity.sh > out/capacity.jsonl
#
# Real daemons, workers played by one process, no work: what remains is control.
# Each size runs for ten seconds after all shards are open.
set -u
cd "$(dirname "$0")/.."
source examples/cluster.sh
WINDOW=${WINDOW:-10}

# Prints the sum over all entries of metric $1.
metric_sum() {
  local port
  for port in "${ENTRY_PORTS[@]}"; do
    curl -s "http://127.0.0.1:$port/metrics"
  done | awk -v name="lentilscale_$1" '$1 == name {s += $2} END {printf "%.3f", s}'
}
METRICS="cpu_seconds_total resident_bytes client_bytes_out_total client_bytes_in_total peer_bytes_out_total peer_bytes_in_total worker_bytes_out_total worker_bytes_in_total store_reads_total store_writes_total store_lease_calls_total"

measure() {
  local workers=$1 entries=$2 teams=$3 dir before=() after=() name i t
  dir=$(mktemp -d)
  printf '[workers w]\nservice = tablets\ndata_centre = home-a\nregion = home\ncount = %s\nper_rack = 5\nslots = 8\ncpu_milli = 24000\nmemory_mb = 49152\n' "$workers" > "$dir/fleet.ini"
  {
    printf '[ticket]\nauthor = bench\n[service tablets]\nshards_per_data_centre = %s\n' "$((workers / 18 > 60 ? 60 : (workers / 18 < 2 ? 2 : workers / 18)))"
    for t in $(seq 1 "$teams"); do printf '[team t%s]\nshare = 1\nlimit = 100\nkey.k = %064x\n' "$t" "$t"; done
  } > "$dir/t.ini"
  CLUSTER_PLACES="home-a:home"
  cluster_start "$dir" "$dir/fleet.ini" "$entries" > /dev/null || return 1
  submit_ticket "$dir/t.ini" "$dir/ticket.ini" > /dev/null || return 1
  cluster_wait_ready || return 1
  sleep 3
  for name in $METRICS; do before+=("$(metric_sum "$name")"); done
  sleep "$WINDOW"
  for name in $METRICS; do after+=("$(metric_sum "$name")"); done
  printf '{"workers":%s,"entries":%s,"teams":%s,"seconds":%s' "$workers" "$entries" "$teams" "$WINDOW"
  i=0
  for name in $METRICS; do
    printf ',"%s":{"before":%s,"after":%s}' "$name" "${before[i]}" "${after[i]}"
    i=$((i + 1))
  done
  printf '}\n'
  cluster_stop
  rm -rf "$dir"
}

for size in ${SIZES:-"12:3:6" "48:3:6" "200:3:6" "800:3:6" "200:6:6" "200:9:6" "200:18:6" "200:3:30" "200:3:120"}; do
  IFS=: read -r workers entries teams <<< "$size"
  measure "$workers" "$entries" "$teams" || exit 1
done
