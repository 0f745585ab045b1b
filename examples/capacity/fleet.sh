# Functions shared by the scripts of this directory: they start a fleet of real
# processes on the loopback and end it by its ids. Sourced, not run.
#   PORT  first port of the fleet (20000)
#   BIN   directory with radishwell and standin; built anew where unset
# shellcheck shell=bash
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
port=${PORT:-20000}
work=$(mktemp -d)
d="$work/fleet"
declare -A pids=()

stop_fleet() {
	[ ${#pids[@]} -eq 0 ] && return
	kill -TERM "${pids[@]}" 2>/dev/null || true
	wait "${pids[@]}" 2>/dev/null || true
	pids=()
}
trap 'stop_fleet; rm -rf "$work"' EXIT

build() {
	if [ -n "${BIN:-}" ]; then
		cp "$BIN/radishwell" "$BIN/standin" "$work/"
		return
	fi
	(cd "$here/../.." && go build -o "$work/" ./cmd/radishwell ./cmd/standin)
}

api() { echo "http://127.0.0.1:$port/apis/radishwell.example/v1/$1"; }
operators() { echo $((port + 5 * ($1 + 1) + 1)); }         # index of a process
callers() { echo $((port + 5 * ($1 + 1) + 2)); }           # index of an entry
faults() { curl -s -o /dev/null -X PUT -d "$1" "http://127.0.0.1:$((port + 1))/faults"; }
calls() { curl -s "http://127.0.0.1:$((port + 1))/calls"; } # JSON, by verb
now() { date +%s.%6N; }

# total sums the numbers of a JSON object.
total() { grep -o ':[0-9]*' | tr -d ':' | awk '{s += $1} END {print s + 0}'; }

# metric prints the sum of a metric's series at an operators' port.
metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v n="$2" 'index($1, n) == 1 {s += $2} END {printf "%.3f", s}'; }

# start_process starts an entry or agent by its name, as entry-000.
start_process() {
	"$work/radishwell" "${1%%-*}" "$d/$1.yaml" >>"$d/$1.log" 2>&1 &
	pids[$1]=$!
}

# start_fleet ENTRIES AGENTS MODELS ADAPTERS starts a fleet and waits until every
# model and adapter has its grant. It sets settled to the seconds that took, -1
# where it took more than 300.
start_fleet() {
	entries=$1 agents=$2 models=$3 adapters=$4
	rm -rf "$d"
	"$work/standin" fleet --dir "$d" --entries "$entries" --agents "$agents" --models "$models" --adapters "$adapters" --port "$port"
	"$work/standin" platform --listen "127.0.0.1:$port" --control "127.0.0.1:$((port + 1))" --seed "$d/hosts.yaml" --seed "$d/catalogue.yaml" >"$d/platform.log" 2>&1 &
	pids[platform]=$!
	"$work/standin" engines --entries "$entries" --agents "$agents" --port "$port" >"$d/engines.log" 2>&1 &
	pids[engines]=$!
	local f began n
	for f in "$d"/entry-*.yaml "$d"/agent-*.yaml; do start_process "$(basename "${f%.yaml}")"; done
	began=$(date +%s)
	settled=-1
	for _ in $(seq 300); do
		sleep 1
		n=$(curl -s "$(api grants)" | grep -o '"holders"' | wc -l || true)
		if [ "$n" -ge $((models + adapters)) ]; then
			settled=$(($(date +%s) - began))
			return
		fi
	done
}
