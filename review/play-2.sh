#!/usr/bin/env bash
# play-2.sh CASE N: plays a case in review/N, and exits with 1 if its rule was broken, 0 if it held, 2 if it
# could not run. It starts the stand-ins, and the entry of the deploy file once its settings are written.
cd "$(dirname "$0")/.." || exit 2
[ -x target/radishwell ] && [ -x target/review-2/rig ] || exit 2
dir=$(mktemp -d) || exit 2
rig=
entry=
finish() {
	[ -z "$rig" ] || kill -KILL "$rig" 2>/dev/null
	[ -z "$entry" ] || kill -KILL "$entry" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

target/review-2/rig "$1" "$dir" "review/$2/record.txt" &
rig=$!
until [ -e "$dir/edge-1.yaml" ] || ! kill -0 "$rig" 2>/dev/null; do sleep 0.05; done
if [ -e "$dir/edge-1.yaml" ]; then
	target/radishwell entry "$dir/edge-1.yaml" >"$dir/edge-1.log" 2>&1 &
	entry=$!
	wait -n "$rig" "$entry"
	kill -0 "$entry" 2>/dev/null || touch "$dir/edge-1.ended"
fi
wait "$rig"
status=$?
rig=
exit "$status"
