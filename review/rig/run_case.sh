#!/usr/bin/env bash
# Runs one case in a temporary folder. Usage: run_case.sh CASE_FOLDER PROGRAM
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program="$root/review/bin/$2"
[ -x "$program" ] && [ -x "$root/target/bin/bronzerouted-platform" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 "$program" "$root" "$folder" "$case_folder/record.txt"
status=$?
[ -z "$KEEP_LOGS" ] || cp -r "$folder" "$KEEP_LOGS"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
