#!/usr/bin/env bash
# Runs the benchmarks and writes out/bench.jsonl: decisions, the hop, policies.
set -u
cd "$(dirname "$0")/.."
mkdir -p out
{
  for size in "48 6 380" "200 30 1590" "800 60 6390" "2800 120 14000"; do
    "$BIN/scheduler_benchmark" $size 20000
  done
  testing/hop.sh
  for seed in 1 2 3 4 5; do
    for load in 0.7 0.95 1.3; do
      for policy in fair first_fit random; do
        testing/policy.sh "$policy" "$load" "$seed" 25
      done
    done
  done
} | tee out/bench.jsonl
