#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review/lab ] || { echo "review/build.sh comes first"; exit 2; }
folder="$(mktemp -d)"
trap '[ -f "$folder/processes" ] && kill -9 $(cat "$folder/processes"); rm -rf "$folder"' EXIT
timeout -k 5 110 target/review/lab cut-requests "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
