#!/usr/bin/env bash
# Starts the small fleet: the platform, four model engines and a plain service as
# stand-ins, two entries and five agents. Process ids and logs go to run/.
set -euo pipefail
cd "$(dirname "$0")"
if [ -e run/pids ]; then
	echo "the fleet is up already (run/pids is there); stop it with ./down.sh" >&2
	exit 1
fi
mkdir -p run/keys run/log
(cd ../.. && go build -o examples/local/run/ ./cmd/radishwell ./cmd/standin)

hosts=()
for name in entry-1 entry-2; do hosts+=(--host "$name=entry@127.0.0.1"); done
for name in engine-1 engine-2 engine-3 engine-4 ledger-1; do hosts+=(--host "$name=agent@127.0.0.1"); done
[ -e run/keys/ca.crt ] || run/radishwell keys --dir run/keys "${hosts[@]}"

start() { # name, command...
	local name=$1
	shift
	"$@" >"run/log/$name.log" 2>&1 &
	echo "$! $name" >>run/pids
}
start platform run/standin platform --listen 127.0.0.1:7000 --control 127.0.0.1:7001 --seed hosts.yaml --seed catalogue.yaml
for i in 1 2 3 4; do start "upstream-$i" run/standin engine --listen "127.0.0.1:740$i"; done
start upstream-5 run/standin service --listen 127.0.0.1:7405
for name in engine-1 engine-2 engine-3 engine-4 ledger-1; do start "$name" run/radishwell agent "settings/$name.yaml"; done
for name in entry-1 entry-2; do start "$name" run/radishwell entry "settings/$name.yaml"; done

# Wait until both entries are ready and every model may be loaded somewhere.
for _ in $(seq 200); do
	while read -r id name; do
		if ! kill -0 "$id" 2>/dev/null; then
			echo "$name has ended; see run/log/$name.log (is another fleet using its ports?)" >&2
			exit 1
		fi
	done <run/pids
	if curl -sf -o /dev/null http://127.0.0.1:7201/ready && curl -sf -o /dev/null http://127.0.0.1:7202/ready &&
		[ "$(curl -s http://127.0.0.1:7000/apis/radishwell.example/v1/grants | grep -o '"holders"' | wc -l)" -ge 5 ]; then
		echo "the fleet is up: https://127.0.0.1:8081 and https://127.0.0.1:8082"
		exit 0
	fi
	sleep 0.1
done
echo "the fleet did not come up in 20 s; see run/log" >&2
exit 1
