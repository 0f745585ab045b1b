#!/usr/bin/env bash
# Measures what callers get when an agent is killed (SIGKILL) in the middle of a
# load; its engine goes on loading. Each round asks a cold model, kills the agent
# that loads it 0.3 s into the load, asks again at once through the other entry,
# and starts the agent again 2 s later. Appends:
#   round,caller,status,outcome,code,seconds
# where the first caller's seconds run from its request, the second's from the kill.
# Usage: agentkill.sh OUT.csv ROUNDS
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
rounds=$2
build
start_fleet 2 4 "$rounds" 0
set_keys
sleep 10

ask() { # entry, model's number, round, caller
	local body
	body=$(curl -s -D "$work/head-$4" --max-time 60 -w '\n%{http_code} %{time_total}' "http://127.0.0.1:$(callers "$1")/v1/chat/completions" \
		-H "Authorization: Bearer key-$(printf '%02d' $(($2 % 20)))" -H 'Content-Type: application/json' \
		-d '{"model": "'"$(printf 'model-%03d' "$2")"'", "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}')
	printf '%s,%s,%s,%s,%s,%s\n' "$3" "$4" "$(tail -n1 <<<"$body" | cut -d' ' -f1)" \
		"$(grep -i '^radishwell-outcome:' "$work/head-$4" | tr -d '\r' | cut -d' ' -f2)" \
		"$(head -n1 <<<"$body" | jq -r '.error.code // "-"' 2>/dev/null || echo '?')" "$(tail -n1 <<<"$body" | cut -d' ' -f2)" >>"$out"
}

for round in $(seq 0 $((rounds - 1))); do
	name=$(printf 'model-%03d' "$round")
	ask 0 "$round" "$round" first &
	first=$!
	loader=''
	for _ in $(seq 200); do
		loader=$(grep -l "RW1301.*\"$name\"" "$d"/agent-*.log | head -1 || true)
		[ -n "$loader" ] && break
		sleep 0.02
	done
	[ -z "$loader" ] && { echo "no agent loaded $name"; wait "$first"; continue; }
	loader=$(basename "${loader%.log}")
	sleep 0.3
	kill -KILL "${pids[$loader]}"
	ask 1 "$round" "$round" second &
	second=$!
	wait "${pids[$loader]}" 2>/dev/null || true
	sleep 2
	start_process "$loader"
	wait "$first" "$second"
	echo "round $round: killed $loader in the load of $name"
	tail -n2 "$out"
	sleep 12
done
