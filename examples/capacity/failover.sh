#!/usr/bin/env bash
# Measures what a killed deciding entry costs. Each round kills the entry that
# decides (SIGKILL), then makes a new model, and waits for its grant. Appends:
#   round,seconds to another entry's lease (event RW1201),seconds to the new model's grant
# both from the kill, by the machine's clock; "none" where 60 s did not suffice.
# Usage: failover.sh OUT.csv ENTRIES AGENTS MODELS ADAPTERS ROUNDS
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
rounds=$6
build
start_fleet "$2" "$3" "$4" "$5"
echo "fleet of $2 entries and $3 agents settled in $settled s"
sleep 15
midnight=$(date -d "$(date +%F)" +%s)

for round in $(seq "$rounds"); do
	decider=$(curl -s "$(api leases)" | jq -r '.items[0].spec.holder')
	kill -KILL "${pids[$decider]}"
	killed=$(now)
	wait "${pids[$decider]}" 2>/dev/null || true
	curl -s -o /dev/null -X POST -H 'Content-Type: application/json' "$(api models)" -d '{
		"apiVersion": "radishwell.example/v1", "kind": "models", "metadata": {"name": "new-'"$round"'"},
		"spec": {"owner": "owner-00", "service": "pool", "class": "interactive", "memory": "1GiB", "limits": {"replicas": 2}}}'
	granted=none
	for _ in $(seq 600); do
		if curl -s "$(api "grants/new-$round")" | grep -q '"holders":\[{'; then
			granted=$(awk -v a="$(now)" -v b="$killed" 'BEGIN {printf "%.2f", a - b}')
			break
		fi
		sleep 0.1
	done
	taken=$(cat "$d"/entry-*.log | awk -v midnight="$midnight" -v killed="$killed" '
		/event="RW1201"/ { split($2, t, ":"); at = midnight + t[1] * 3600 + t[2] * 60 + t[3] - killed; if (at > 0 && (!best || at < best)) best = at }
		END { if (best) printf "%.2f", best; else printf "none" }')
	echo "$round,$taken,$granted" | tee -a "$out"
	start_process "$decider"
	# Uneven pauses, so that the kill meets the lease's renewals anywhere.
	sleep "$((10 + RANDOM % 5)).$((RANDOM % 10))"
done
