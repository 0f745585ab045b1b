#!/usr/bin/env bash
# Measures what a request and a token cost at entry and agent: one entry, two
# agents, a warm model, open-loop load of streamed answers of a few lengths.
# Appends:
#   tokens a request,requests a second asked,done,seconds,
#   entry cpu ms a request,agents cpu ms a request,entry MiB,agent MiB
# The processor time of the same processes at rest is taken off.
# Usage: datapath.sh OUT.csv SECONDS "TOKENS RATE" ...
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
seconds=$2
shift 2
build
start_fleet 1 2 4 0
set_keys
sleep 5

cpu() { echo "$(sum_of process_cpu_seconds_total 0 0) $(sum_of process_cpu_seconds_total 1 2)"; }
load() { # tokens rate seconds
	cat >"$work/load.yaml" <<-YAML
		name: tokens
		seed: 1
		max-requests: 100000
		phases: [{name: steady, for: ${3}s, rate: $2}]
		calls:
		  - {name: chat, caller: caller, class: interactive, models: [model-000], stream: 1, tokens: {min: $1, max: $1}, deadline: 30s}
	YAML
	"$work/radishwell" bench "$work/load.yaml" --at "http://127.0.0.1:$(callers 0)" --key caller=key-00 --json "$work/report.json" >"$work/bench.log" 2>&1 || cat "$work/bench.log"
}

load 4 20 5 # loads the model and opens connections
read -r e0 a0 <<<"$(cpu)"
sleep 20
read -r e1 a1 <<<"$(cpu)"
for one in "$@"; do
	read -r tokens rate <<<"$one"
	read -r e2 a2 <<<"$(cpu)"
	began=$(now)
	load "$tokens" "$rate" "$seconds"
	ended=$(now)
	read -r e3 a3 <<<"$(cpu)"
	awk -v tokens="$tokens" -v rate="$rate" -v done="$(jq '.outcomes.done // 0' "$work/report.json")" -v t="$(awk -v a="$began" -v b="$ended" 'BEGIN {print b - a}')" \
		-v e="$e0 $e1 $e2 $e3" -v a="$a0 $a1 $a2 $a3" \
		-v em="$(sum_of process_resident_memory_bytes 0 0)" -v am="$(sum_of process_resident_memory_bytes 1 2)" 'BEGIN {
			split(e, x, " "); split(a, y, " ")
			entry = 1000 * (x[4] - x[3] - (x[2] - x[1]) / 20 * t) / done
			agent = 1000 * (y[4] - y[3] - (y[2] - y[1]) / 20 * t) / done
			printf "%d,%s,%d,%.1f,%.3f,%.3f,%.1f,%.1f\n", tokens, rate, done, t, entry, agent, em / 1048576, am / 2097152
		}' | tee -a "$out"
done
