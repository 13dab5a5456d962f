#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/silence
[ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$(cd ../.. && pwd)" "$folder" record.txt
outcome=$?
case $outcome in 0 | 1) exit $outcome ;; *) exit 2 ;; esac
