# Functions shared by the scripts of this directory: they start a fleet of real
# processes on the loopback and end it by its ids. Sourced, not run.
#   PORT  first port of the fleet (20000)
#   BIN   directory with radishwell and standin; built anew where unset
#   EXTRA "ENTRIES AGENTS" that the platform lists beside the processes that run.
#         Their control addresses are those of running processes, so that the
#         cost of knowing many hosts shows without as many processes.
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

# list_extra adds the hosts of EXTRA to the platform's list.
list_extra() {
	local i name role rest spec
	# shellcheck disable=SC2086
	set -- ${EXTRA:-0 0}
	for i in $(seq 0 $(($1 + $2 - 1))); do
		name=$(printf 'listed-entry-%03d' "$i") role=entry rest=''
		if [ "$i" -ge "$1" ]; then
			name=$(printf 'listed-agent-%03d' "$i") role=upstream
			rest=", service: pool, work: \"127.0.0.1:$((port + 5 * (i % agents + entries + 1) + 3))\", accelerators: 8, memory: 80GiB"
		fi
		spec="role: $role, state: live, data-centre: dc-$((i % 4)), control: \"127.0.0.1:$((port + 5 * (i % (entries + agents) + 1)))\"$rest"
		printf -- '---\nkind: hosts\nname: %s\nspec: {%s}\n' "$name" "$spec" >>"$d/hosts.yaml"
	done
}

# set_keys gives each owner a key by an operator's edit: owner-NN's is key-NN.
set_keys() {
	local i n digest
	for i in $(seq 0 19); do
		n=$(printf '%02d' "$i")
		digest=$(printf 'key-%s' "$n" | sha256sum | cut -d' ' -f1)
		curl -s -o /dev/null -X PUT -H 'Content-Type: application/json' "$(api "owners/owner-$n")" -d '{
			"apiVersion": "radishwell.example/v1", "kind": "owners", "metadata": {"name": "owner-'"$n"'"},
			"spec": {"keys": [{"caller": "caller", "digest": "'"$digest"'"}]}}'
	done
}

# sum_of METRIC FIRST LAST sums a metric over processes.
sum_of() {
	local i
	for i in $(seq "$2" "$3"); do
		metric "$(operators "$i")" "$1"
		echo
	done | awk '{s += $1} END {printf "%.3f", s}'
}

# start_fleet ENTRIES AGENTS MODELS ADAPTERS starts a fleet and waits until every
# model and adapter has its grant. It sets settled to the seconds that took, -1
# where it took more than 300.
start_fleet() {
	entries=$1 agents=$2 models=$3 adapters=$4
	rm -rf "$d"
	"$work/standin" fleet --dir "$d" --entries "$entries" --agents "$agents" --models "$models" --adapters "$adapters" --port "$port"
	list_extra
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
