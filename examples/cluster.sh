# Functions that start and stop a small cluster of real processes on loopback.
#
#   source examples/cluster.sh
#   cluster_start DIR FLEET ENTRIES     starts stand-ins and entry instances
#   cluster_stop                        ends what was started, by pid
#
# All ports are free ones that the processes choose. After the start:
#   ENTRY_ADDRESSES  callers' addresses, separated by commas
#   PLATFORM, WORKERS, PROXY            control addresses of the stand-ins
#   ENTRY_PIDS       pids of the entry instances, in order
#   OPERATOR_KEY     the operators' key
#
# With CLUSTER_PROXY=1 the entries reach the store, each other and the workers
# through fault_proxy: links store-N, peer-N and worker-ID.
# CLUSTER_PLACES lists "data_centre:region" of the entries in turn.

BIN=${BIN:-build}
OPERATOR_KEY=operator-secret
CLUSTER_PIDS=()
CLUSTER_PLACES=${CLUSTER_PLACES:-"home-a:home home-b:home far-a:far"}

# Waits until FILE has a line that starts with WORD and prints its last word.
wait_word() {
  local file=$1 word=$2 i
  for i in $(seq 1 400); do
    if grep -q "^$word" "$file" 2>/dev/null; then
      grep "^$word" "$file" | head -1 | awk '{print $NF}'
      return 0
    fi
    sleep 0.025
  done
  echo "no '$word' in $file" >&2
  return 1
}

# Starts the stand-ins in DIR with FLEET.
stand_ins_start() {
  local dir=$1 fleet=$2
  "$BIN/fake_platform" --record="$dir/platform.jsonl" > "$dir/platform.out" 2> "$dir/platform.err" &
  CLUSTER_PIDS+=($!)
  PLATFORM_PID=$!
  PLATFORM=127.0.0.1:$(wait_word "$dir/platform.out" port)
  PROXY=
  if [ -n "${CLUSTER_PROXY:-}" ]; then
    "$BIN/fault_proxy" > "$dir/proxy.out" 2> "$dir/proxy.err" &
    CLUSTER_PIDS+=($!)
    PROXY=127.0.0.1:$(wait_word "$dir/proxy.out" port)
  fi
  "$BIN/fake_workers" --platform="$PLATFORM" --fleet="$fleet" --proxy="$PROXY" \
    --record="$dir/workers.jsonl" > "$dir/workers.out" 2> "$dir/workers.err" &
  CLUSTER_PIDS+=($!)
  WORKERS=127.0.0.1:$(wait_word "$dir/workers.out" port)
}

# Prints the port of a new link NAME to TARGET.
proxy_link() {
  curl -s -X POST "http://$PROXY/fake/link" -d "{\"name\":\"$1\",\"target\":\"$2\"}" | tr -dc 0-9
}

# Starts entry instance N in DIR; its settings may be extended by
# CLUSTER_SETTINGS, lines of "section.key=value".
entry_start() {
  local dir=$1 n=$2 places place store peer_port advertise line log
  ENTRY_STARTS[n]=$((${ENTRY_STARTS[n]:-0} + 1))
  log=$dir/entry-$n-${ENTRY_STARTS[n]}.log
  places=($CLUSTER_PLACES)
  place=${places[$((n % ${#places[@]}))]}
  store=$PLATFORM
  peer_port=0
  advertise=
  if [ -n "$PROXY" ]; then
    store=127.0.0.1:$(proxy_link "store-$n" "$PLATFORM")
    # The link is there before the process; its target follows below.
    advertise=127.0.0.1:$(proxy_link "peer-$n" "127.0.0.1:1")
  fi
  {
    echo "[instance]"
    echo "listen_port = ${ENTRY_PORT:-0}"
    echo "peer_port = $peer_port"
    echo "advertise_address = $advertise"
    echo "data_centre = ${place%%:*}"
    echo "region = ${place##*:}"
    echo "[store]"
    echo "address = $store"
    echo "[platform]"
    echo "address = $PLATFORM"
    echo "[peers]"
    echo "key = peer-secret"
    echo "[operators]"
    echo "key_sha256 = $("$BIN/lentilctl" key-hash "$OPERATOR_KEY")"
    for line in ${CLUSTER_SETTINGS:-}; do
      echo "[${line%%.*}]"
      line=${line#*.}
      echo "${line%%=*} = ${line#*=}"
    done
  } > "$dir/entry-$n.ini"
  "$BIN/lentild" --settings="$dir/entry-$n.ini" 2> "$log" &
  ENTRY_PIDS[n]=$!
  CLUSTER_PIDS+=($!)
  ENTRY_PORTS[n]=$(wait_port "$log" address)
  if [ -n "$PROXY" ]; then
    proxy_link "peer-$n" "127.0.0.1:$(wait_port "$log" peer_listener)" > /dev/null
  fi
}

# Prints the port of the address in FIELD that the process logged last.
wait_port() {
  local i
  for i in $(seq 1 400); do
    if grep -q 'event=1001' "$1" 2>/dev/null; then
      grep 'event=1001' "$1" | tail -1 | sed "s/.* $2=\"127.0.0.1:\([0-9]*\)\".*/\1/"
      return 0
    fi
    sleep 0.025
  done
  echo "no listening event in $1" >&2
  return 1
}

cluster_start() {
  local dir=$1 fleet=$2 entries=$3 n
  mkdir -p "$dir"
  ENTRY_PIDS=()
  ENTRY_STARTS=()
  ENTRY_PORTS=()
  stand_ins_start "$dir" "$fleet" || return 1
  for n in $(seq 0 $((entries - 1))); do
    entry_start "$dir" "$n" || return 1
  done
  ENTRY_ADDRESSES=$(for n in $(seq 0 $((entries - 1))); do echo -n "127.0.0.1:${ENTRY_PORTS[n]},"; done)
  ENTRY_ADDRESSES=${ENTRY_ADDRESSES%,}
}

operator() {
  "$BIN/lentilctl" --address="$ENTRY_ADDRESSES" --key="$OPERATOR_KEY" "$@"
}

# Waits until every shard of the stand-ins' fleet is owned and open, and fails
# after 20 s.
cluster_wait_ready() {
  local slots want i
  want=$(curl -s "http://$WORKERS/fake/load" | sed 's/.*"slots":\([0-9]*\).*/\1/')
  for i in $(seq 1 200); do
    slots=0
    for port in "${ENTRY_PORTS[@]}"; do
      n=$("$BIN/lentilctl" --address="127.0.0.1:$port" --key="$OPERATOR_KEY" status 2>/dev/null |
        grep -o '"slots":[0-9]*' | cut -d: -f2 | awk '{s += $1} END {print s + 0}')
      slots=$((slots + ${n:-0}))
    done
    [ "$slots" -ge "$want" ] && return 0
    sleep 0.1
  done
  echo "only $slots of $want slots are open" >&2
  return 1
}

cluster_stop() {
  local pid
  for pid in "${CLUSTER_PIDS[@]}"; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait "${CLUSTER_PIDS[@]}" 2> /dev/null
  CLUSTER_PIDS=()
}

# Submits a ticket file in which @NAME stands for the hash of NAME-secret, and
# waits until it is in force.
submit_ticket() {
  local file=$1 out=$2 name sed_script=
  for name in $(grep -o '@[a-z-]*' "$file" | tr -d @ | sort -u); do
    sed_script+="s/@$name\$/$("$BIN/lentilctl" key-hash "$name-secret")/;"
  done
  sed "$sed_script" "$file" > "$out"
  operator --next ticket submit "$out" || return 1
  operator ticket wait "$(operator ticket head | sed 's/.*"number":\([0-9]*\).*/\1/')"
}
