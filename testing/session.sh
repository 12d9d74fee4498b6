#!/usr/bin/env bash
# Prints the transcript of a whole session with an embedded lentild: what an
# operator and a caller type and get. Parts that differ between runs are
# replaced by their names.
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-build}
DIR=$(mktemp -d)
DAEMON=
trap '[ -n "$DAEMON" ] && kill -KILL $DAEMON 2> /dev/null; rm -rf "$DIR"' EXIT

normalize() {
  sed -E -e 's/"nonce":"[0-9a-f]{24}"/"nonce":"NONCE"/g' -e 's/\b[0-9a-f]{16}\b/ID/g' \
    -e 's/127\.0\.0\.1:[0-9]+/ADDRESS/g' -e 's/"(wait_ms|accepted_ms|rights_left_ms)":[0-9]+/"\1":N/g' \
    -e 's/c:ID:[0-9]+/CALL/g' -e 's/embedded-[0-9]/WORKER/g' -e "s#$DIR#DIR#g" -e "s#$BIN/##g" -e "s#[^ ]*/lentil#lentil#g" -e "s/ --address=[A-Z]+ --timeout-ms=20000//" -e 's#"home":"[a-z0-9/-]*"#"home":"HOME"#g' \
    -e 's/"issued_ms":[0-9]+/"issued_ms":N/g'
}
run() {
  echo "\$ $*"
  "$@" 2>&1
  echo "exit $?"
}
ctl() {
  run "$BIN/lentilctl" --address="$ADDRESS" --timeout-ms=20000 "$@"
}

session() {
  run "$BIN/lentild" --check-settings --settings="$DIR/bad.ini"
  run "$BIN/lentild" --check-settings --settings="$DIR/good.ini"
  ctl --key=wrong status
  ctl --key=op ticket check "$DIR/t1.ini"
  ctl --key=op ticket submit "$DIR/t1.ini"
  ctl --key=op ticket submit "$DIR/t1.ini"
  ctl --key=op ticket wait 1
  ctl --key=op ticket submit "$DIR/t2-bad.ini"
  # Calls are taken when the first shards are open.
  for _ in $(seq 1 200); do
    "$BIN/lentilctl" --address="$ADDRESS" --key=kitchen call demo '{"work":{"run_ms":1}}' > /dev/null 2>&1 && break
    sleep 0.05
  done
  ctl --key=kitchen call demo '{"work":{"run_ms":5,"echo":"hello"}}'
  ctl call demo '{}'
  ctl --key=nobody call demo '{}'
  ctl --key=kitchen call nothing '{}'
  ctl --key=kitchen call demo '{"deadline_ms":-1}'
  ctl --key=kitchen call demo '{"a":1,"a":2}'
  ctl --key=kitchen call demo '{"idempotent":false}'
  ctl queue walk-in '{"work":{"run_ms":1,"echo":"no key"}}'
  ctl queue no-queue '{}'
  ctl --key=kitchen job submit "$DIR/never.json"
  ctl --key=kitchen job submit "$DIR/batch.json"
  "$BIN/lentilctl" --address="$ADDRESS" --key=kitchen job watch batch-1 > /dev/null
  ctl --key=kitchen job submit "$DIR/batch.json"
  ctl --key=kitchen job submit "$DIR/batch-other.json"
  ctl --key=kitchen job submit "$DIR/gang.json"
  "$BIN/lentilctl" --address="$ADDRESS" --key=kitchen job watch gang-1 > /dev/null
  ctl --key=kitchen job show gang-1
  ctl --key=kitchen job submit "$DIR/long.json"
  # How far the tasks are when they are cancelled differs between runs.
  ctl --key=kitchen job cancel long-1 | grep -v '^{'
  "$BIN/lentilctl" --address="$ADDRESS" --key=kitchen job watch long-1 > /dev/null
  ctl --key=kitchen job show long-1
  ctl --key=kitchen job show no-job
  ctl --key=op ticket submit "$DIR/t2.ini"
  ctl --key=kitchen call demo '{}'
  ctl --key=op audit
  ctl frobnicate
  kill -TERM $DAEMON
  wait $DAEMON
  echo "lentild exit $?"
  DAEMON=
}

hash_of() { "$BIN/lentilctl" key-hash "$1"; }
printf '[instance]\nlisten_port = many\n' > "$DIR/bad.ini"
printf '[instance]\nlisten_port = 0\npeer_port = 0\n[store]\naddress = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n[operators]\nkey_sha256 = %s\n' "$(hash_of op)" > "$DIR/good.ini"
printf '[ticket]\nnumber = 1\nauthor = ana\nnote = first\n[team kitchens]\nshare = 1\nlimit = 16\nkey.tablets = %s\n[service demo]\ncall.cpu_milli = 500\n[queue walk-in]\nservice = demo\nteam = kitchens\n' "$(hash_of kitchen)" > "$DIR/t1.ini"
printf '[ticket]\nnumber = 2\nauthor = ana\n[queue q]\nservice = nothing\nteam = kitchens\n' > "$DIR/t2-bad.ini"
printf '[ticket]\nnumber = 2\nauthor = bea\nnote = withdraw the key\n[team kitchens]\nshare = 1\nlimit = 16\n' > "$DIR/t2.ini"
echo '{"job_id":"never-1","service":"demo","need":{"accelerators":16}}' > "$DIR/never.json"
echo '{"job_id":"batch-1","service":"demo","count":20,"work":{"run_ms":10}}' > "$DIR/batch.json"
echo '{"job_id":"batch-1","service":"demo","count":21,"work":{"run_ms":10}}' > "$DIR/batch-other.json"
echo '{"job_id":"gang-1","service":"demo","kind":"all_at_once","count":12,"work":{"run_ms":10}}' > "$DIR/gang.json"
echo '{"job_id":"long-1","service":"demo","count":3,"work":{"run_ms":600000}}' > "$DIR/long.json"
"$BIN/lentild" --embedded --settings="$DIR/good.ini" 2> "$DIR/log" &
DAEMON=$!
for _ in $(seq 1 400); do
  ADDRESS=$(sed -n 's/.*name=listening address="\([^"]*\)".*/\1/p' "$DIR/log")
  [ -n "$ADDRESS" ] && break
  sleep 0.025
done
session > "$DIR/transcript"
normalize < "$DIR/transcript"
