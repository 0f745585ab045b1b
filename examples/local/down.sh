#!/usr/bin/env bash
# Stops what up.sh started, by process id: entries first, then agents, then the
# stand-ins, each as a planned stop.
set -euo pipefail
cd "$(dirname "$0")"
[ -e run/pids ] || { echo "the fleet is not up"; exit 0; }
stop() { # names as a pattern
	local ids
	ids=$(grep -E " ($1)\$" run/pids | cut -d' ' -f1)
	for id in $ids; do kill -TERM "$id" 2>/dev/null || true; done
	for id in $ids; do
		while kill -0 "$id" 2>/dev/null; do sleep 0.05; done
	done
}
stop 'entry-.*'
stop 'engine-.*|ledger-.*'
stop 'platform|upstream-.*'
rm run/pids
echo "the fleet is down"
