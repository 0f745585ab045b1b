#!/usr/bin/env bash
# Measures how long an accepted catalogue edit takes to be in force in every
# process, and how long a process takes that starts while the platform is down.
# Appends one line for each edit and process to a file:
#   scenario,edit,process,seconds
# Seconds run from the platform's answer that accepted the edit to the process's
# first log of the model with the edit's version or a newer one (event RW1101; a
# status written to the entry makes a newer one), both by the machine's clock. An
# edit that a process never logged stands as "none".
# Usage: converge.sh OUT.csv ENTRIES AGENTS MODELS ADAPTERS EDITS
# shellcheck source=fleet.sh
source "$(dirname "$0")/fleet.sh"
out=$(realpath "$1")
edits=$6
build
start_fleet "$2" "$3" "$4" "$5"
echo "fleet of $2 entries and $3 agents settled in $settled s"
sleep 15

# edit changes one model's concurrency by conditional update and prints the time
# of the answer, the new version and the model.
edit() { # number
	local at name text version
	name=$(printf 'model-%03d' $(($1 % models)))
	at=$(api "models/$name")
	text=$(curl -s "$at" | jq -c --argjson n "$((33 + $1))" '.spec.limits.concurrency = $n | del(.status)')
	version=$(curl -s -X PUT -H 'Content-Type: application/json' -d "$text" "$at" | jq -r .metadata.resourceVersion)
	echo "$(now) $version $name"
}

# collect reads all logs for the edits of a scenario.
collect() { # scenario
	local midnight
	midnight=$(date -d "$(date +%F)" +%s)
	for f in "$d"/entry-*.log "$d"/agent-*.log; do
		awk -v scenario="$1" -v process="$(basename "${f%.log}")" -v midnight="$midnight" '
			NR == FNR { at[$3] = $1; version[$3] = $2; edit[$3] = FNR; next }
			/event="RW1101" kind="models"/ {
				split($0, q, "\"")
				name = q[8]
				v = $NF
				sub(/version=/, "", v)
				if (!(name in at) || name in seen || v + 0 < version[name] + 0) next
				seen[name] = 1
				split($2, t, ":")
				printf "%s,%d,%s,%.3f\n", scenario, edit[name], process, midnight + t[1] * 3600 + t[2] * 60 + t[3] - at[name]
			}
			END { for (name in at) if (!(name in seen)) printf "%s,%d,%s,none\n", scenario, edit[name], process }
		' "$d/edits" "$f"
	done >>"$out"
}

scenario() { # name, faults, first edit, seconds to wait after the last
	local i
	faults "$2"
	sleep 2
	: >"$d/edits"
	for i in $(seq "$edits"); do
		edit $(($3 + i)) >>"$d/edits"
		# Uneven pauses, so that edits meet the processes' periods anywhere.
		sleep "1.$((RANDOM % 10))"
	done
	sleep "$4"
	faults '{"delay":"0s","stall-watches":false,"down":""}'
	collect "$1"
	echo "measured $1"
	sleep 5
}

scenario up '{}' 0 5
scenario slow '{"delay":"1s"}' 100 10
scenario stalled '{"stall-watches":true}' 200 60

# A process that starts while the platform is down has its catalogue from peers.
last_entry=$(printf 'entry-%03d' $((entries - 1)))
last_agent=$(printf 'agent-%03d' $((agents - 1)))
faults '{"down":"refuse"}'
sleep 2
for name in "$last_entry" "$last_agent"; do
	for i in $(seq "$edits"); do
		kill -KILL "${pids[$name]}"
		wait "${pids[$name]}" 2>/dev/null || true
		: >"$d/$name.log"
		began=$(now)
		start_process "$name"
		for _ in $(seq 100); do
			[ "$(grep -c 'event="RW1101" kind="models"' "$d/$name.log" || true)" -ge "$models" ] && grep -q RW1002 "$d/$name.log" && break
			sleep 0.1
		done
		midnight=$(date -d "$(date +%F)" +%s)
		awk -v p="$name" -v i="$i" -v began="$began" -v midnight="$midnight" -v models="$models" '
			/event="RW1101" kind="models"/ { n++ }
			/event="RW1101"|event="RW1002"/ { split($2, t, ":"); at = midnight + t[1] * 3600 + t[2] * 60 + t[3] }
			/event="RW1002"/ { ready = 1 }
			ready && n >= models && !done { done = 1; printf "boot-%s,%d,%s,%.3f\n", substr(p, 1, 5), i, p, at - began }
			END { if (!done) printf "boot-%s,%d,%s,none\n", substr(p, 1, 5), i, p }' "$d/$name.log" >>"$out"
	done
	echo "measured starts of $name with the platform down"
done
faults '{"down":""}'
