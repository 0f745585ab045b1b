#!/usr/bin/env bash
# An entry is killed while it passes on streams that end with their channel.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"

start_fleet 40 -unframed
whole=()
[ "$trouble" = 0 ] && whole=(-whole)
start client "$stands" streams -entry "${callers_at[0]}" -path /draft/2f -n 8 -events 40 "${whole[@]}"
client=$started
sleep 2
if [ "$trouble" != 0 ]; then
	note "SIGKILL to the entry that passes the streams on"
	kill -KILL "${entry[0]}"
fi
status=0
wait "$client" || status=$?
end_case "$status"
