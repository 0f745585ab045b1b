#!/usr/bin/env bash
# Measures what one process costs at rest, at several sizes of fleet and
# catalogue, and appends the raw figures to a file, a line for each process:
#   processes,entries,agents,models,adapters,role,control bytes/s,cpu %,rss MiB,platform calls/s,seconds to settle,seconds to quiet
# Settled is when every model and adapter has its grant; quiet when the platform
# then gets fewer than two calls a second: statuses are written after the grants.
# Usage: measure.sh OUT.csv "ENTRIES AGENTS MODELS ADAPTERS" ...
# REST is for how many seconds the fleet is watched once it is quiet (30).
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
shift
rest=${REST:-30}
build

# wait_quiet waits until the platform has gone quiet, and sets quiet to the
# seconds since the fleet settled; -1 where 400 did not suffice.
wait_quiet() {
	local began before after
	began=$(date +%s)
	quiet=-1
	before=$(calls | total)
	for _ in $(seq 80); do
		sleep 5
		after=$(calls | total)
		if [ $((after - before)) -lt 10 ]; then
			quiet=$(($(date +%s) - began))
			return
		fi
		before=$after
	done
}

run() { # entries agents models adapters
	start_fleet "$@"
	wait_quiet
	sleep 10
	local total_processes=$((entries + agents)) i op c0 c1
	declare -A b0 u0
	c0=$(calls | total)
	for i in $(seq 0 $((total_processes - 1))); do
		op=$(operators "$i")
		b0[$i]=$(metric "$op" radishwell_peer_bytes_total)
		u0[$i]=$(metric "$op" process_cpu_seconds_total)
	done
	sleep "$rest"
	c1=$(calls | total)
	for i in $(seq 0 $((total_processes - 1))); do
		op=$(operators "$i")
		local b1 u1 m role=entry
		b1=$(metric "$op" radishwell_peer_bytes_total)
		u1=$(metric "$op" process_cpu_seconds_total)
		m=$(metric "$op" process_resident_memory_bytes)
		[ "$i" -ge "$entries" ] && role=agent
		awk -v t="$rest" -v p="$total_processes,$entries,$agents,$models,$adapters,$role" -v b0="${b0[$i]}" -v b1="$b1" -v u0="${u0[$i]}" -v u1="$u1" -v m="$m" -v c0="$c0" -v c1="$c1" -v s="$settled" -v q="$quiet" \
			'BEGIN {printf "%s,%.0f,%.3f,%.1f,%.2f,%d,%d\n", p, (b1 - b0) / t, 100 * (u1 - u0) / t, m / 1048576, (c1 - c0) / t, s, q}' >>"$out"
	done
	stop_fleet
	echo "measured $total_processes processes, $models models, $adapters adapters (settled in $settled s, quiet after $quiet s more)"
}

for config in "$@"; do
	# shellcheck disable=SC2086
	run $config
done
