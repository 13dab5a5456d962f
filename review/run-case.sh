#!/usr/bin/env bash
# run-case.sh N: runs case N. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/.." || exit 2
program="review/build/case$1"
if [ ! -x "$program" ] || [ ! -x target/plantaind ]; then
    echo "not built: $program or target/plantaind"
    exit 2
fi
timeout -s KILL 115 "$program" "review/$1"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
