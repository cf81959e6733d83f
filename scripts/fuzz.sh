#!/usr/bin/env bash
# Runs the state machine tests repeatedly with fresh seeds for a duration, given
# in minutes (10m) or seconds (90s).
set -eu
cd "$(dirname "$0")/.."

limit=${1:-10m}
case $limit in
*m) seconds=$((${limit%m} * 60)) ;;
*s) seconds=${limit%s} ;;
*)
  echo "fuzz: $limit: want a duration such as 10m or 90s" >&2
  exit 2
  ;;
esac

until=$(($(date +%s) + seconds))
rounds=0

while [ "$(date +%s)" -lt "$until" ]; do
  seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
  if ! MILL_FUZZ_SEED=$seed go test -count=1 -timeout 20m -run '^TestFuzz' ./internal/...; then
    echo "fuzz: failed with MILL_FUZZ_SEED=$seed" >&2
    exit 1
  fi
  rounds=$((rounds + 1))
done

echo "fuzz: no failures, $rounds rounds in $limit"
