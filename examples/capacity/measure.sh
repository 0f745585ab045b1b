#!/usr/bin/env bash
# Measures what one process costs at rest, at several sizes of fleet and
# catalogue, and appends the raw figures to a file:
#   processes,entries,agents,models,adapters,role,control bytes/s,cpu %,rss MB,platform calls/s,seconds to settle
# Usage: measure.sh OUT.csv "ENTRIES AGENTS MODELS ADAPTERS" ...
# It starts processes on the loopback only and ends them by their ids.
set -euo pipefail
out=$(realpath "$1")
shift
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
(cd "$here/../.." && go build -o "$work/" ./cmd/radishwell ./cmd/standin)
port=20000
rest=${REST:-30}

metric() { # operators' port, name: the sum of the metric's series
	curl -s "http://127.0.0.1:$1/metrics" | awk -v n="$2" 'index($1, n) == 1 {s += $2} END {printf "%.3f", s}'
}
calls() { curl -s "http://127.0.0.1:$((port + 1))/calls" | grep -o ':[0-9]*' | tr -d ':' | awk '{s += $1} END {print s + 0}'; }

run() { # entries agents models adapters
	local entries=$1 agents=$2 models=$3 adapters=$4 ids=() d="$work/fleet"
	rm -rf "$d"
	"$work/standin" fleet --dir "$d" --entries "$entries" --agents "$agents" --models "$models" --adapters "$adapters" --port "$port"
	"$work/standin" platform --listen "127.0.0.1:$port" --control "127.0.0.1:$((port + 1))" --seed "$d/hosts.yaml" --seed "$d/catalogue.yaml" >"$d/platform.log" 2>&1 &
	ids+=($!)
	"$work/standin" engines --entries "$entries" --agents "$agents" --port "$port" >"$d/engines.log" 2>&1 &
	ids+=($!)
	for f in "$d"/entry-*.yaml; do "$work/radishwell" entry "$f" >"${f%.yaml}.log" 2>&1 & ids+=($!); done
	for f in "$d"/agent-*.yaml; do "$work/radishwell" agent "$f" >"${f%.yaml}.log" 2>&1 & ids+=($!); done
	# Settled: every model and adapter has its grant.
	local began settled=-1
	began=$(date +%s)
	for _ in $(seq 300); do
		sleep 1
		n=$(curl -s "http://127.0.0.1:$port/apis/radishwell.example/v1/grants" | grep -o '"holders"' | wc -l || true)
		if [ "$n" -ge $((models + adapters)) ]; then
			settled=$(($(date +%s) - began))
			break
		fi
	done
	sleep 10
	local total=$((entries + agents)) i op
	local c0 c1
	declare -A b0 u0
	c0=$(calls)
	for i in $(seq 0 $((total - 1))); do
		op=$((port + 5 * (i + 1) + 1))
		b0[$i]=$(metric "$op" radishwell_peer_bytes_total)
		u0[$i]=$(metric "$op" process_cpu_seconds_total)
	done
	sleep "$rest"
	c1=$(calls)
	for i in $(seq 0 $((total - 1))); do
		op=$((port + 5 * (i + 1) + 1))
		local b1 u1 m role=entry
		b1=$(metric "$op" radishwell_peer_bytes_total)
		u1=$(metric "$op" process_cpu_seconds_total)
		m=$(metric "$op" process_resident_memory_bytes)
		[ "$i" -ge "$entries" ] && role=agent
		awk -v t="$rest" -v p="$total,$entries,$agents,$models,$adapters,$role" -v b0="${b0[$i]}" -v b1="$b1" -v u0="${u0[$i]}" -v u1="$u1" -v m="$m" -v c0="$c0" -v c1="$c1" -v s="$settled" \
			'BEGIN {printf "%s,%.0f,%.3f,%.1f,%.2f,%d\n", p, (b1 - b0) / t, 100 * (u1 - u0) / t, m / 1048576, (c1 - c0) / t, s}' >>"$out"
	done
	kill -TERM "${ids[@]}" 2>/dev/null || true
	wait "${ids[@]}" 2>/dev/null || true
	echo "measured $total processes, $models models, $adapters adapters (settled in $settled s)"
}

for config in "$@"; do
	# shellcheck disable=SC2086
	run $config
done
