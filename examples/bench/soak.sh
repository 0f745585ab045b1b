#!/usr/bin/env bash
# Load on the small fleet while entries, agents and engines are killed, paused
# and restarted at random, and the platform, the engines and the plain service
# fail in turn. Fails where a caller got no outcome, anything ran that must not,
# or the fleet does not serve within 15 s of the last fault.
# Usage: soak.sh [MINUTES [SEED [DIRECTORY FOR RESULTS]]]
set -euo pipefail
. "$(dirname "$0")/fleet.sh"
here=$(cd "$(dirname "$0")" && pwd)
minutes=${1:-30}
seed=${2:-1}
out=$(mkdir -p "${3:-$fleet/run/bench}" && cd "${3:-$fleet/run/bench}" && pwd)
kills=$out/soak-kills
history=$out/soak-faults
: >"$kills"
: >"$history"

calm=40 # seconds of load after the last fault
processes=(entry-1 entry-2 engine-1 engine-2 engine-3 engine-4 ledger-1 upstream-1 upstream-2 upstream-3 upstream-4)

note() { echo "$(date +%T.%3N) $*" >>"$history"; }
pick() { local list=("$@"); picked=${list[$((RANDOM % ${#list[@]}))]}; }

# Processes: one fault at a time, with a few seconds between.
fail_processes() { # until, in seconds since 1970
	RANDOM=$seed
	local span
	while [ "$(date +%s)" -lt "$1" ]; do
		pick "${processes[@]}"
		local name=$picked
		pick crash freeze restart
		span=$((RANDOM % 6)).$((RANDOM % 10))
		note "$picked $name $span"
		case $picked in
		restart) restart "$name" ;;
		*) "$picked" "$name" "$span" ;;
		esac
		sleep $((3 + RANDOM % 8))
	done
}

platform_faults=('{"down":"unavailable"}' '{"down":"refuse"}' '{"down":"hang"}' '{"delay":"700ms"}' '{"stall-watches":true}' '{"lose-answers":-1}' '{"compact":true}')
engine_faults=('{"silent":true}' '{"token-factor":8}' '{"load-factor":5}' '{"load-fails":true}' '{"order-answers-lost":true}' '{"down":true}')
service_faults=('{"delay":800}' '{"answers-lost":true}' '{"down":true}')

# Stand-ins: one fault at a time, over the same time.
fail_standins() { # until
	RANDOM=$((seed + 1000))
	local at
	while [ "$(date +%s)" -lt "$1" ]; do
		case $((RANDOM % 5)) in
		0 | 1) at=127.0.0.1:7001 && pick "${platform_faults[@]}" ;;
		2 | 3) at=127.0.0.1:740$((1 + RANDOM % 4)) && pick "${engine_faults[@]}" ;;
		4) at=127.0.0.1:7405 && pick "${service_faults[@]}" ;;
		esac
		note "faults at $at $picked"
		put_faults "$at" "$picked" 2>/dev/null || true
		sleep $((2 + RANDOM % 10))
		# The stand-in may be down or paused itself just now.
		until heal "$at" 2>/dev/null && curl -sf -m 2 -o /dev/null "http://$at/faults"; do sleep 0.2; done
		note "healed $at"
		sleep $((2 + RANDOM % 6))
	done
}

"$fleet/up.sh"
trap clear_up EXIT
await_service "$(date +%s.%3N)" 30
until=$(($(date +%s) + minutes * 60))
start_load "$here/soak.yaml" --for "$((minutes * 60 + calm))s" --kills "$kills" --json "$out/soak.json" --html "$out/soak.html"
sleep 2
fail_processes "$until" &
one=$!
fail_standins "$until" &
two=$!
wait "$one" "$two"
last=$(date +%s.%3N)
note "the last fault is over"
status=0
await_service "$last" 15 || status=1
wait "$load" || status=1
load=
echo "faults: $(cut -d' ' -f2-3 "$history" | sort | uniq -c | sort -rn | tr -s ' ' | tr '\n' ';')"
uptime
exit "$status"
