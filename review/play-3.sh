#!/usr/bin/env bash
# play-3.sh CASE N: plays a case in review/N, and exits with 1 if its rule was broken, 0 if it held, 2 if it could
# not run. It starts the stand-ins, and the entries by the command of the deploy file once their settings are written,
# and ends all that it has started.
set -u
cd "$(dirname "$0")/.." || exit 2
dir=$(mktemp -d) || exit 2
pids=()
finish() {
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT
[ -x target/radishwell ] && [ -x target/review-2/drive ] || exit 2
ulimit -n 4100 2>/dev/null
timeout -k 1 115 target/review-2/drive "$1" "$dir" "review/$2/record.txt" &
drive=$!
pids+=("$drive")
started=" "
while kill -0 "$drive" 2>/dev/null; do
	for file in "$dir"/*.yaml; do
		[ -e "$file" ] || continue
		case $started in *" $file "*) continue ;; esac
		target/radishwell entry "$file" >"$file.log" 2>&1 &
		pids+=("$!")
		echo "$!" >"$file.pid"
		started="$started$file "
	done
	sleep 0.05
done
wait "$drive"
code=$?
[ "$code" -le 2 ] || code=2
[ -z "${KEEP:-}" ] || cp "$dir"/*.log "$KEEP"/
exit "$code"
