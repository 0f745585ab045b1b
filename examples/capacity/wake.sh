#!/usr/bin/env bash
# Measures a wave of wake-ups: the first request of each of many idle adapters,
# through all entries. Appends one line of figures to OUT, and every answer's
# code and seconds to OUT.requests:
#   entries,agents,models,adapters,woken,at once,done,seconds of the wave,
#   platform reads,writes,watches in the wave,platform calls a second at rest,
#   control bytes in the wave of all processes,cpu seconds of entries,cpu seconds of agents
# Usage: wake.sh OUT.csv ENTRIES AGENTS MODELS ADAPTERS WOKEN AT-ONCE
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
woken=$6
at_once=$7
build
start_fleet "$2" "$3" "$4" "$5"
echo "fleet of $2 entries and $3 agents settled in $settled s"

set_keys
sleep 30

verb() { calls | jq ".$1 // 0"; }
last=$((entries + agents - 1))
rest0=$(calls | total)
sleep 20
rest1=$(calls | total)

one() { # number of an adapter: asks for its first token
	local n key at
	n=$(printf '%04d' "$1")
	key=$(printf '%02d' $(($1 % 20)))
	at=$((port + 5 * ($1 % entries + 1) + 2))
	curl -s -o /dev/null -w '%{http_code},%{time_total}\n' --max-time 120 "http://127.0.0.1:$at/v1/chat/completions" \
		-H "Authorization: Bearer key-$key" -H 'Content-Type: application/json' \
		-d '{"model": "adapter-'"$n"'", "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}'
}
export -f one
export port entries

r0=$(($(verb list) + $(verb get)))
w0=$(($(verb create) + $(verb update) + $(verb '"update-status"') + $(verb delete)))
s0=$(verb watch)
b0=$(sum_of radishwell_peer_bytes_total 0 "$last")
e0=$(sum_of process_cpu_seconds_total 0 $((entries - 1)))
a0=$(sum_of process_cpu_seconds_total "$entries" "$last")
began=$(now)
seq 0 $((woken - 1)) | xargs -P "$at_once" -I{} bash -c 'one {}' >"$out.requests"
ended=$(now)
r1=$(($(verb list) + $(verb get)))
w1=$(($(verb create) + $(verb update) + $(verb '"update-status"') + $(verb delete)))
s1=$(verb watch)
b1=$(sum_of radishwell_peer_bytes_total 0 "$last")
e1=$(sum_of process_cpu_seconds_total 0 $((entries - 1)))
a1=$(sum_of process_cpu_seconds_total "$entries" "$last")
awk -v began="$began" -v ended="$ended" -v ok="$(grep -c '^200,' "$out.requests" || true)" \
	-v head="$entries,$agents,$models,$adapters,$woken,$at_once" -v reads=$((r1 - r0)) -v writes=$((w1 - w0)) -v watches=$((s1 - s0)) \
	-v rest=$((rest1 - rest0)) -v b0="$b0" -v b1="$b1" -v e0="$e0" -v e1="$e1" -v a0="$a0" -v a1="$a1" 'BEGIN {
		printf "%s,%d,%.1f,%d,%d,%d,%.2f,%.0f,%.2f,%.2f\n", head, ok, ended - began, reads, writes, watches, rest / 20, b1 - b0, e1 - e0, a1 - a0
	}' | tee -a "$out"
