# Functions for scripts that drive the small fleet of examples/local. They end
# only processes that up.sh or they themselves started, by the ids in run/pids.

fleet=$(cd "$(dirname "${BASH_SOURCE[0]}")/../local" && pwd)
pids=$fleet/run/pids
entries=https://127.0.0.1:8081,https://127.0.0.1:8082
ready=http://127.0.0.1:7201,http://127.0.0.1:7202

id_of() { # name
	grep " $1\$" "$pids" | cut -d' ' -f1
}

operators_of() { # name of an entry or agent
	case $1 in
	entry-*) echo "127.0.0.1:720${1#entry-}" ;;
	engine-*) echo "127.0.0.1:721${1#engine-}" ;;
	ledger-1) echo 127.0.0.1:7215 ;;
	esac
}

callers_of() { # name of an entry
	echo "127.0.0.1:808${1#entry-}"
}

# command_of NAME fills the array "command" with the command line of a process.
command_of() {
	mapfile -d '' -t command <"/proc/$(id_of "$1")/cmdline"
}

# launch NAME starts the process again with the array "command", and notes its
# new id in place of the old one.
launch() {
	(cd "$fleet" && exec "${command[@]}" >>"run/log/$1.log" 2>&1) &
	local id=$!
	disown "$id"
	sed -i "s/^[0-9]* $1\$/$id $1/" "$pids"
}

await_end() { # id
	while kill -0 "$1" 2>/dev/null; do sleep 0.02; done
}

await_ready() { # name; fails after 20 s
	local _
	for _ in $(seq 200); do
		curl -sf -m 1 -o /dev/null "http://$(operators_of "$1")/ready" && return 0
		sleep 0.1
	done
	echo "$1 was not ready within 20 s" >&2
	return 1
}

# restart NAME: a planned stop, and a new start.
restart() {
	local id
	id=$(id_of "$1")
	command_of "$1"
	kill -TERM "$id"
	await_end "$id"
	launch "$1"
}

# crash NAME SECONDS: killed, away for a while, and started again.
crash() {
	local id
	id=$(id_of "$1")
	command_of "$1"
	case $1 in entry-*) echo "$(date +%s.%6N) $(callers_of "$1")" >>"$kills" ;; esac
	kill -KILL "$id"
	await_end "$id"
	sleep "$2"
	launch "$1"
}

# freeze NAME SECONDS: paused, and gone on.
freeze() {
	local id
	id=$(id_of "$1")
	kill -STOP "$id"
	sleep "$2"
	kill -CONT "$id"
}

put_faults() { # address document
	curl -sf -m 5 -o /dev/null -X PUT -d "$2" "http://$1/faults"
}

heal() { # address of a stand-in's faults
	case $1 in
	127.0.0.1:7001) put_faults "$1" '{"down":"","delay":"0s","stall-watches":false,"lose-answers":0,"host-lag":"0s"}' ;;
	*) put_faults "$1" '{}' ;;
	esac
}

# ask ENTRY TARGET: one request; succeeds when it is done. A target is KEY:MODEL,
# or KEY:/PATH below a service.
ask() {
	local key=${2%%:*} what=${2#*:}
	case $what in
	/*) curl -sf -m 20 -o /dev/null --cacert "$fleet/run/keys/ca.crt" -H "Authorization: Bearer $key" "$1/services$what" ;;
	*) curl -sf -m 20 -o /dev/null --cacert "$fleet/run/keys/ca.crt" -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
		-d "{\"model\":\"$what\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"back again\"}]}" "$1/v1/chat/completions" ;;
	esac
}

targets="clerk-key:accounts clerk-key:accounts-dues fitter-key:facade fitter-key:facade-fixings fitter-key:review clerk-key:/ledger/accounts"

# await_service SINCE LIMIT: every target is served through both entries; prints
# after how many seconds from SINCE, and fails beyond LIMIT seconds.
await_service() {
	local entry target took
	for entry in ${entries//,/ }; do
		for target in $targets; do
			until ask "$entry" "$target"; do
				took=$(echo "$(date +%s.%3N) - $1" | bc)
				if [ "$(echo "$took > $2" | bc)" = 1 ]; then
					echo "$target through $entry: not served after $took s" >&2
					return 1
				fi
				sleep 0.1
			done
		done
	done
	took=$(echo "$(date +%s.%3N) - $1" | bc)
	echo "every target is served through both entries $took s after the last fault"
	[ "$(echo "$took <= $2" | bc)" = 1 ]
}

# start_load EXPERIMENT [FLAG...] runs the load beside the script, and leaves its
# process id in "load". To end it early, send it a TERM: a job in the background
# of a script does not see interrupts.
load=
start_load() {
	local experiment=$1
	shift
	"$fleet/run/radishwell" bench "$experiment" --at "$entries" --ready "$ready" --ca "$fleet/run/keys/ca.crt" \
		--key clerk=clerk-key --key fitter=fitter-key "$@" &
	load=$!
}

# clear_up ends the load, if it still runs, and the fleet.
clear_up() {
	if [ -n "$load" ] && kill -TERM "$load" 2>/dev/null; then wait "$load" || true; fi
	"$fleet/down.sh"
}
