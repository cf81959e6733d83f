#!/usr/bin/env bash
# Runs the state machine tests over and over with fresh seeds for a time.
set -eu
cd "$(dirname "$0")/.."

limit=${1:-10m}
until=$(($(date +%s) + $(echo "$limit" | sed -E 's/([0-9]+)m$/\1*60/; s/([0-9]+)s$/\1/' | bc 2>/dev/null || echo 600)))
rounds=0

while [ "$(date +%s)" -lt "$until" ]; do
  seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
  MILL_FUZZ_SEED=$seed go test -count=1 -timeout 20m -run 'TestFuzz' ./... || {
    echo "failed with MILL_FUZZ_SEED=$seed"
    exit 1
  }
  rounds=$((rounds + 1))
done

echo "clean: $rounds rounds in $limit"
