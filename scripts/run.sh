#!/usr/bin/env bash
# Runs a shortened day of both firms: starts all processes, runs the driver, which
# sends work and injects failures, and kills all processes at the end. The driver
# requests signals and starts through a named pipe, because no wasabihill process
# starts another; this script carries the requests out.
set -u
cd "$(dirname "$0")/.."
dir=${RUN_DIR:-run}
rm -rf "$dir"
mkdir -p "$dir/logs"
bin/wasabihill-acceptance plan --dir "$dir" --binaries bin || exit 2

declare -A command pid
names=()
while IFS=$'\t' read -r name line; do
  command[$name]=$line
  names+=("$name")
done <"$dir/processes"

start() {
  # shellcheck disable=SC2086 # the command is split into words, none of which needs quotes
  ${command[$1]} >>"$dir/logs/$1.log" 2>&1 &
  pid[$1]=$!
  disown "${pid[$1]}" # otherwise bash prints a message for each killed process
  echo "${pid[$1]}" >"$dir/logs/$1.pid"
}

stop_all() {
  trap - EXIT INT TERM
  for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null; done
}
trap stop_all EXIT INT TERM

for name in "${names[@]}"; do start "$name"; done
echo "started ${#names[@]} processes; logs and process ids are in $dir/logs"

mkfifo "$dir/actions"
bin/wasabihill-acceptance drive --dir "$dir" --actions "$dir/actions" &
driver=$!
while read -r action name; do
  case $action in
    start) start "$name" ;;
    *) kill "-$action" "${pid[$name]}" 2>/dev/null ;;
  esac
done <"$dir/actions"
wait "$driver"
status=$?
stop_all
exit "$status"
