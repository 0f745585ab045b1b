# Functions of the cases' scripts, which source this file. A script sets "here" to its folder.
# Each process that it starts is ended at its end, by its id.
set -Eeuo pipefail
root=$(cd "$here/../.." && pwd)
cd "$root"
program=target/radishwell
stands=target/review-stand
trouble=${TROUBLE:-1}
record=$here/record.txt
dir=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap finish EXIT

note() { echo "$(date +%T.%3N) $*" >>"$record"; }

cannot_run() {
	note "cannot run: $*"
	exit 2
}
trap 'cannot_run "a command failed"' ERR

[ -x "$program" ] && [ -x "$stands" ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
: >"$record"
note "trouble: $trouble"
mapfile -t port < <("$stands" ports -n 16)

# start NAME COMMAND...: starts a process; its output goes to NAME.log, its id to "started".
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	started=$!
	pids+=("$started")
}

# settings ROLE NAME FILE LISTEN...: writes settings as deploy/settings.yaml renders them with the
# bounds of the site daftar-nadi. store_at, agent_port and seeds are set before.
settings() {
	local role=$1 name=$2 file=$3
	{
		printf 'role: %s\nname: %s\ndata-centre: charguia\nregion: tunis\nlisten:\n' "$role" "$name"
		if [ "$role" = entry ]; then
			printf '  callers: "%s"\n  control: "%s"\n  operators: "%s"\n' "$4" "$5" "$6"
		else
			printf '  control: "%s"\n  operators: "%s"\n' "$4" "$5"
		fi
		printf 'peers: [%s]\nplatform:\n  urls: ["http://%s"]\nmanaged:\n  enabled: true\n  plain-peers: true\n' "$seeds" "$store_at"
		if [ "$role" = entry ]; then
			printf '  readiness: "%s"\n  agent-port: %s\n  cores: 1\n  share: 0.304\n  memory: 284MiB\n' "$7" "$agent_port"
		else
			printf '  upstream: "%s"\n  cores: 1\n  share: 0.32\n  memory: 216MiB\n' "$6"
		fi
		printf '  stop-grace: 8s\n  apply-time: 2000ms\n  retry-ratio: 0.2\n  retry-spare: 56\n  retry-span: 10s\nweight-store:\n  parallel: 2\n'
	} >"$file"
}

# await_ready ADDRESS: waits until an entry is ready.
await_ready() {
	local i
	for i in $(seq 100); do
		if "$stands" ready -at "$1" 2>/dev/null; then return 0; fi
		sleep 0.1
	done
	cannot_run "the entry at $1 is not ready"
}

# start_fleet EVENTS WORKER-FLAG...: starts a store, two model workers with their agents, whose
# streams have EVENTS events 100 ms apart, a worker of an application service, and two entries.
# The ids of entries and agents are in the lists entry and agents, the addresses of the entries
# for clients in callers_at.
start_fleet() {
	local events=$1 i at
	shift
	local worker_flags=("$@") objects
	store_at=127.0.0.1:${port[0]}
	agent_port=${port[1]}
	agent_operators=${port[2]}
	worker_port=${port[3]}
	seeds="\"127.0.0.1:${port[4]}\", \"127.0.0.1:${port[8]}\""

	cat >"$dir/table" <<END
{"version":7,"routes":[
 {"name":"r-1","host":"a.example","path_prefix":"/draft/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":2500,"gap_aim_ms":600,"priority":1,"service":"qalam","max_attempts":1,"sticky":true,"resumable":false},
 {"name":"r-3","host":"a.example","path_prefix":"/match/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":2000,"gap_aim_ms":600,"priority":0,"service":"qalam","max_attempts":2,"sticky":true,"resumable":true},
 {"name":"r-2","host":"b.example","path_prefix":"/","route_kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"sijill","max_attempts":1}],
 "services":[{"name":"qalam","health_path":"/healthz","max_connections":370,"engine":{"slots":64,"kv_cache_tokens":263794,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.6,
  "models":[{"name":"m-1","weights_mb":72700,"load_s":6,"adapters":0,"adapter_mb":66,"warm_s":0.63,"disk_s":0.84}]}},
  {"name":"sijill","health_path":"/healthz","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
	objects=("config/main=$dir/table")
	for i in 1 2; do
		cat >"$dir/worker-$i" <<END
{"service":"qalam","address":"127.0.1.$i:$worker_port","zone":"charguia","version":"v1","slots":64,"state":"ready","sequence":0,"cold_remaining_ms":0,"models":[{"name":"m-1","version":1,"adapters":[]}]}
END
		objects+=("servers/i-$i=$dir/worker-$i")
	done
	cat >"$dir/worker-3" <<END
{"service":"sijill","address":"127.0.1.3:$worker_port","zone":"charguia","version":"v1","slots":6,"state":"ready","sequence":0,"cold_remaining_ms":0}
END
	objects+=("servers/i-3=$dir/worker-3")
	start store "$stands" store -listen "$store_at" "${objects[@]}"
	agents=()
	for i in 1 2; do
		start "worker-$i" "$stands" worker -listen "127.0.1.$i:$worker_port" -id "i-$i" -events "$events" -gap 100ms -model m-1 "${worker_flags[@]}"
	done
	start worker-3 "$stands" worker -listen "127.0.1.3:$worker_port" -id i-3
	sleep 0.3
	for i in 1 2; do
		settings agent "side-charguia-$i" "$dir/agent-$i.yaml" "127.0.1.$i:$agent_port" "127.0.1.$i:$agent_operators" "127.0.1.$i:$worker_port"
		start "agent-$i" "$program" agent "$dir/agent-$i.yaml"
		agents+=("$started")
	done
	entry=() callers_at=()
	for i in 0 1; do
		at=$((4 + 4 * i))
		settings entry "edge-charguia-$i" "$dir/entry-$i.yaml" "127.0.0.1:${port[at + 1]}" "127.0.0.1:${port[at]}" "127.0.0.1:${port[at + 2]}" "127.0.0.1:${port[at + 3]}"
		start "entry-$i" "$program" entry "$dir/entry-$i.yaml"
		entry+=("$started")
		callers_at+=("127.0.0.1:${port[at + 1]}")
	done
	await_ready "127.0.0.1:${port[7]}"
	await_ready "127.0.0.1:${port[11]}"
	sleep 1
}

# end_case STATUS: ends the script, with what clients and workers have logged in the record.
end_case() {
	cat "$dir"/client*.log "$dir"/worker-*.log >>"$record"
	note "exit status $1"
	exit "$1"
}
