#!/usr/bin/env bash
# Rolling restarts of entries and agents under load: each is stopped as planned,
# started again and awaited before the next. No request may fail.
# Usage: rolling.sh [RESTARTS [DIRECTORY FOR RESULTS]]
set -euo pipefail
. "$(dirname "$0")/fleet.sh"
here=$(cd "$(dirname "$0")" && pwd)
restarts=${1:-20}
out=$(mkdir -p "${2:-$fleet/run/bench}" && cd "${2:-$fleet/run/bench}" && pwd)
names=(entry-1 engine-1 entry-2 engine-2 ledger-1 engine-3 engine-4)

"$fleet/up.sh"
trap clear_up EXIT
await_service "$(date +%s.%3N)" 30
start_load "$here/rolling.yaml" --for 15m --all-done --json "$out/rolling.json" --html "$out/rolling.html"
sleep 3
for i in $(seq 0 $((restarts - 1))); do
	name=${names[$((i % ${#names[@]}))]}
	from=$(date +%s.%3N)
	restart "$name"
	await_ready "$name"
	echo "$(date +%T.%3N) $name restarted in $(echo "$(date +%s.%3N) - $from" | bc) s"
	sleep 2
done
kill -TERM "$load"
status=0
wait "$load" || status=$?
load=
uptime
exit "$status"
