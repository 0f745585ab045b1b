#!/usr/bin/env bash
# play-3.sh CASE FOLDER plays a case of target/review-drive: it starts the entries whose settings that program
# writes, by the command of deploy/system.toml, restarts none, and ends all that it has started.
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
[ -x target/radishwell ] || exit 2
[ -x target/review-drive ] || review/build-3.sh >&2 || exit 2
ulimit -n 4100 2>/dev/null
timeout -k 1 115 target/review-drive "$1" "$dir" "$2/record.txt" &
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
