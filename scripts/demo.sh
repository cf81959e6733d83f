#!/usr/bin/env bash
# Starts one of the brief's deployments on loopback as separate processes, runs
# load, kills an entry and a store during the load, and compares the records of
# the callers with those of the upstreams and workers. The last line of output is
# the result as JSON.
set -eu

deployment=${DEPLOYMENT:-zilina}
seconds=${SECONDS_OF_LOAD:-20}
root=$(cd "$(dirname "$0")/.." && pwd)
mill=$root/build/cranberrymill
standin=$root/build/standin
settings=$root/examples/$deployment
work=$(mktemp -d)
pids=()

say() { echo "demo: $*" >&2; }

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

finish() {
  status=$?
  trap - EXIT INT TERM
  stop_all
  if [ "$status" -ne 0 ]; then say "failed with exit code $status; logs are in $work"; else rm -rf "$work"; fi
  exit "$status"
}
trap finish EXIT INT TERM

# start NAME COMMAND... starts a background process that logs to NAME.log in the work folder.
start() {
  local name=$1
  shift
  (cd "$work" && exec "$@") 2>>"$work/$name.log" &
  pids+=($!)
  last_pid=$!
}

case $deployment in
zilina)
  places=(trnava zilina kosice)
  quick=booking slow=inspection home=zilina
  small_cores=16000 small_memory=32768 large_memory=131072
  base=17100
  ;;
kalpitiya)
  places=(weligama kalpitiya arugam)
  quick=desk slow=coach home=kalpitiya
  small_cores=32000 small_memory=131072 large_memory=262144
  base=17200
  ;;
*)
  say "unknown deployment $deployment: want zilina or kalpitiya"
  exit 2
  ;;
esac

quick_counts=(12 12 11)
slow_counts=(5 4 4)
declare -A pid_of

say "starting deployment $deployment"
(cd "$work" && "$mill" store init --settings "$settings/${places[0]}-a.json" >&2)

for place in "${places[@]}"; do
  for vm in "$place-a" "$place-b"; do
    start "store-$vm" "$mill" store run --settings "$settings/$vm.json"
    pid_of[store-$vm]=$last_pid
    start "sched-$vm" "$mill" sched --settings "$settings/$vm.json"
    start "entry-$vm" "$mill" entry --settings "$settings/$vm.json"
    pid_of[entry-$vm]=$last_pid
  done
done

entries_of() { # prints the addresses of the two entries of the data centre at an index
  local first=$((base + $1 * 8))
  echo "127.0.0.1:$first,127.0.0.1:$((first + 4))"
}

operator=127.0.0.1:$((base + 8))
export CRANBERRYMILL_ENTRY=$operator

ready() {
  "$mill" status --whole >/dev/null 2>&1
}

for attempt in $(seq 1 120); do
  if ready; then break; fi
  if [ "$attempt" -eq 120 ]; then say "the system is not healthy after $attempt checks"; exit 1; fi
  sleep 0.25
done

say "the system is healthy; applying declarations"
"$mill" apply --why "demo" "$settings/declarations" >&2

for i in 0 1 2; do
  place=${places[$i]}
  entries=$(entries_of "$i")
  start "upstream-$place" "$standin" upstream --entries "$entries" --prefix "$place" --service "$quick" \
    --data-centre "$place" --count "${quick_counts[$i]}" --answer 20ms \
    --runs "$work/runs-$quick-$place" --loads "$work/loads-$quick-$place"
  start "upstream-slow-$place" "$standin" upstream --entries "$entries" --prefix "$place" --service "$slow" \
    --data-centre "$place" --count "${slow_counts[$i]}" --rack-size 3 --answer 150ms \
    --runs "$work/runs-$slow-$place" --loads "$work/loads-$slow-$place"
  start "worker-$place" "$standin" worker --entries "$entries" --prefix "$place-small" --data-centre "$place" \
    --count "${quick_counts[$i]}" --milli-cores "$small_cores" --memory-mib "$small_memory" \
    --tasks "$work/tasks-small-$place"
  start "worker-large-$place" "$standin" worker --entries "$entries" --prefix "$place-large" --data-centre "$place" \
    --count "${slow_counts[$i]}" --rack-size 3 --milli-cores 64000 --memory-mib "$large_memory" --accelerators 8 \
    --tasks "$work/tasks-large-$place"
done
sleep 2

loads=()
for i in 0 1 2; do
  place=${places[$i]}
  entries=$(entries_of "$i")
  (cd "$work" && exec "$standin" load --entries "$entries" --service "$quick" --rate 100 --keyed 50 \
    --duration "${seconds}s" --seed "$((i + 1))" --run "q$i" --records "$work/records-$quick-$place") &
  loads+=($!)
  (cd "$work" && exec "$standin" load --entries "$entries" --service "$slow" --rate 20 --keyed 50 \
    --duration "${seconds}s" --seed "$((i + 11))" --run "s$i" --records "$work/records-$slow-$place") &
  loads+=($!)
done

jobs=()
for file in job-batch job-all-at-once job-batch; do
  jobs+=("$("$mill" job submit "$settings/$file.json")")
done

sleep $((seconds / 4))
say "killing entry ${places[0]}-b"
kill -KILL "${pid_of[entry-${places[0]}-b]}"

sleep $((seconds / 4))
say "killing store $home-a, the primary of the home ledger"
kill -KILL "${pid_of[store-$home-a]}"
sleep 2
say "restarting store $home-a"
start "store-$home-a" "$mill" store run --settings "$settings/$home-a.json"

"$mill" preset switch --why "demo" peak >&2
for pid in "${loads[@]}"; do wait "$pid"; done

for job in "${jobs[@]}"; do
  for attempt in $(seq 1 60); do
    state=$("$mill" job show "$job" 2>/dev/null | sed -n 's/^  "state": "\(.*\)".*/\1/p' | tail -1)
    if [ "$state" = done ]; then break; fi
    sleep 0.5
  done
  say "job $job is ${state:-unknown}"
done

"$mill" preset show >&2
say "stopping all processes"
stop_all

arguments=()
for file in "$work"/records-*; do arguments+=(--records "$file"); done
for file in "$work"/runs-*; do arguments+=(--runs "$file"); done
for file in "$work"/loads-*; do arguments+=(--loads "$file"); done
for file in "$work"/tasks-*; do arguments+=(--tasks "$file"); done
"$standin" verdict "${arguments[@]}"
