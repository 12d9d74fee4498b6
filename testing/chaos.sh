#!/usr/bin/env bash
# Runs one seeded schedule of faults over real processes and judges it.
#
#   BIN=build testing/chaos.sh SEED [DIR]
#
# Three entry instances behind the fault proxy serve calls and jobs of three
# teams while one to three faults are drawn from the list below, operators
# race, a limit is lowered and a key is withdrawn. The last line printed is a
# JSON object with the seed, the faults and what the judge found; the exit code
# is 1 if a promise was broken.
set -u
SEED=$1
DIR=${2:-$(mktemp -d)}
mkdir -p "$DIR"
cd "$(dirname "$0")/.."
CLUSTER_PROXY=1
source examples/cluster.sh
trap cluster_stop EXIT

RANDOM=$SEED
FAULTS=("kill 0" "kill 1" "kill 2" "pause 0 4" "pause 1 8" "pause 2 12" "term 0" "term 1"
  "kill_all" "store down_ms=3000" "store down_ms=8000" "store for_ms=5000 lose_percent=30"
  "store for_ms=5000 slow_ms=300" "workers prefix=t-a restart=true"
  "workers prefix=t-b-0 silent=true" "workers prefix=t-a-1 failing=true" "workers prefix=t-b leaving=true"
  "proxy link=worker-t-a kind=half_open" "proxy link=peer- kind=half_open" "proxy link=store- kind=half_open"
  "proxy link=peer-1 kind=cut ms=5000" "proxy link=peer-2 kind=blackhole ms=4000"
  "proxy link=store-1 kind=cut ms=6000" "proxy link=store-2 kind=blackhole ms=9000"
  "proxy link=worker- kind=reset" "proxy link=peer- kind=reset" "proxy link=peer- kind=delay value=40 ms=4000"
  "proxy link=worker- kind=duplicate value=30 ms=4000" "proxy link=peer- kind=duplicate value=30 ms=4000"
  "proxy link=store- kind=delay value=150 ms=5000" "proxy link=worker-t-far kind=cut ms=12000")
COUNT=$((1 + RANDOM % 3))
CHOSEN=()
for ((i = 0; i < COUNT; i++)); do CHOSEN+=("${FAULTS[RANDOM % ${#FAULTS[@]}]}"); done
[ -n "${CHAOS_FAULTS:-}" ] && IFS=';' read -r -a CHOSEN <<< "$CHAOS_FAULTS"

cluster_start "$DIR" testing/chaos-fleet.ini 3 > /dev/null || exit 2
submit_ticket testing/chaos-ticket.ini "$DIR/ticket.ini" > "$DIR/ticket.out" || exit 2
cluster_wait_ready || exit 2
sleep 2.6 # past the horizon of new shards
sed "s/@SEED/$SEED/" testing/chaos-load.ini > "$DIR/load.ini"

post() {
  curl -s -m 3 -X POST "http://$1" -d "$2" > /dev/null
}
# Turns "a=1 b=x" into a JSON object.
to_json() {
  local out= pair value
  for pair in "$@"; do
    value=${pair#*=}
    case $value in true | false | [0-9]*) ;; *) value="\"$value\"" ;; esac
    out+="\"${pair%%=*}\":$value,"
  done
  echo "{${out%,}}"
}
# An instance that ends is replaced by a new one on the same port of callers.
replace() {
  ENTRY_PORT=${ENTRY_PORTS[$1]} entry_start "$DIR" "$1"
}
run_fault() {
  local words=($1)
  case ${words[0]} in
    kill) kill -KILL "${ENTRY_PIDS[${words[1]}]}"; sleep 2; replace "${words[1]}" ;;
    kill_all) kill -KILL "${ENTRY_PIDS[@]}"; sleep 1; for n in 0 1 2; do replace $n; done ;;
    term) kill -TERM "${ENTRY_PIDS[${words[1]}]}"; sleep 3; replace "${words[1]}" ;;
    pause) kill -STOP "${ENTRY_PIDS[${words[1]}]}"; sleep "${words[2]}"; kill -CONT "${ENTRY_PIDS[${words[1]}]}" ;;
    store) post "$PLATFORM/fake/fault" "$(to_json "${words[@]:1}")" ;;
    workers) post "$WORKERS/fake/worker" "$(to_json "${words[@]:1}")" ;;
    proxy) post "$PROXY/fake/fault" "$(to_json "${words[@]:1}")" ;;
  esac
}
# Operators lower a limit, race each other and withdraw a key.
run_operators() {
  local hash
  hash=$("$BIN/lentilctl" key-hash hotels-secret)
  printf '[ticket]\nauthor = a\n[team hotels]\nshare = 1\nlimit = 3\nkey.k = %s\n' "$hash" > "$DIR/lower.ini"
  printf '[ticket]\nauthor = b\n[team guests]\nshare = 1\nlimit = 20\n' > "$DIR/withdraw.ini"
  sleep $((2 + RANDOM % 3))
  operator --next ticket submit "$DIR/lower.ini" >> "$DIR/operators.out" 2>&1 &
  operator --next ticket submit "$DIR/lower.ini" >> "$DIR/operators.out" 2>&1
  sleep $((1 + RANDOM % 3))
  operator --next ticket submit "$DIR/withdraw.ini" >> "$DIR/operators.out" 2>&1
}

run_operators &
OPERATORS=$!
"$BIN/lentilload" --experiment="$DIR/load.ini" --entries="$ENTRY_ADDRESSES" --workers="$WORKERS" \
  --operator-key="$OPERATOR_KEY" --record="$DIR/load.jsonl" --result="$DIR/result.json" 2> "$DIR/load.err" &
LOAD=$!
sleep 2
for fault in "${CHOSEN[@]}"; do
  echo "$(date +%s%3N) $fault" >> "$DIR/faults"
  run_fault "$fault"
  sleep 0.$((RANDOM % 10))
done
wait $LOAD
wait $OPERATORS 2> /dev/null
VERDICT=$("$BIN/judge" --workers="$DIR/workers.jsonl" --platform="$DIR/platform.jsonl" --load="$DIR/load.jsonl")
CODE=$?
OUTCOMES=$(sed 's/.*"outcomes":\(.*\),"packing".*/\1/' "$DIR/result.json")
FAULT_TEXT=$(printf '"%s",' "${CHOSEN[@]}")
echo "{\"seed\":$SEED,\"faults\":[${FAULT_TEXT%,}],\"outcomes\":$OUTCOMES,\"verdict\":$VERDICT}"
exit $CODE
