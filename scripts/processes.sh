#!/usr/bin/env bash
# Measures one plantaind process in a fleet of COUNT routers with ENTRIES further workspaces:
# resident memory, CPU time and bytes sent to peers, idle or under EDITS catalogue edits per second.
# usage: scripts/processes.sh COUNT ENTRIES [SECONDS [EDITS]]
# PLANTAIN_PORT_OFFSET is added to all ports.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:?COUNT}
entries=${2:?ENTRIES}
seconds=${3:-10}
edits=${4:-0}
offset=${PLANTAIN_PORT_OFFSET:-0}
platform=http://127.0.0.1:$((23000 + offset))
port=$((23400 + offset))
work=$(mktemp -d)
started=()
cleanup() {
    for process in "${started[@]}"; do kill -9 "$process" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

build/plantain-lab stand-ins --deployment lowther --port-offset "$offset" >"$work/lab.log" 2>&1 &
started+=("$!")
until curl -sf "$platform/vms" >/dev/null; do sleep 0.2; done
body() {
    echo "{\"owner\":\"o\",\"dataClass\":\"regulated\",\"token\":\"token-0123456789abcdef-$1\",\"services\":[\"model-pool\"]}"
}
for ((number = 0; number < entries; number++)); do
    if [ "$number" -gt 0 ]; then echo "next"; fi
    echo "url = $platform/objects/workspace/more-$number"
    text=$(body "$number")
    echo "data = \"${text//\"/\\\"}\""
    echo "request = PUT"
    echo "header = \"if-version: 0\""
    echo "output = /dev/null"
done >"$work/entries"
if [ "$entries" -gt 0 ]; then curl -s --config "$work/entries"; fi

address() { echo "127.0.$((2 + $1 / 200)).$((1 + $1 % 200))"; }
for ((number = 0; number < count; number++)); do
    host=$(address "$number")
    curl -sf -X PUT "$platform/vms/more-$number" -o /dev/null -d "{\"id\":\"more-$number\",\
\"role\":\"router\",\"place\":\"hall-a\",\"host\":\"$host\",\"port\":$((port + 2))}"
    cat >"$work/$number.json" <<SETTINGS
{ "id": "more-$number", "place": "hall-a", "workers": 1,
  "callers": { "address": "$host", "port": $port },
  "operators": { "address": "$host", "port": $((port + 1)) },
  "peer": { "address": "$host", "datagramPort": $((port + 2)), "callPort": $((port + 3)) },
  "platform": { "url": "$platform" } }
SETTINGS
    build/plantaind --config "$work/$number.json" 2>"$work/$number.log" &
    started+=("$!")
done
first=${started[1]}
operators=http://$(address 0):$((port + 1))
until [ "$(curl -s "$operators/status" | grep -c '"id": "more-')" -gt "$count" ]; do sleep 0.5; done
sleep 5

ticks() { awk '{print $14 + $15}' "/proc/$first/stat"; }
sent() { curl -s "$operators/metrics" | awk '/^plantainswitch_control_sent_bytes_total/ {print $2}'; }
calls() { curl -s "$operators/metrics" | awk '/^plantainswitch_platform_calls_total/ {print $2}'; }
if [ "$edits" -gt 0 ]; then
    for ((number = 0; number < edits * seconds; number++)); do
        curl -s -X PUT "$platform/objects/workspace/edit-$number" -o /dev/null -H "if-version: 0" \
            -d "$(body "edit-$number")"
        sleep "$(awk -v rate="$edits" 'BEGIN { print 1 / rate }')"
    done &
    started+=("$!")
fi
ticks0=$(ticks)
sent0=$(sent)
calls0=$(calls)
sleep "$seconds"
ticks1=$(ticks)
sent1=$(sent)
calls1=$(calls)
awk -v routers="$count" -v entries="$entries" -v seconds="$seconds" -v edits="$edits" -v hertz="$(getconf CLK_TCK)" \
    -v spent="$((ticks1 - ticks0))" -v sent="$((sent1 - sent0))" -v calls="$((calls1 - calls0))" \
    -v kilobytes="$(awk '/VmRSS/ {print $2}' "/proc/$first/status")" 'BEGIN {
    printf "{\"routers\": %d, \"entries\": %d, \"edits\": %d, \"residentMegabytes\": %.1f, ", routers, entries, edits, kilobytes / 1024
    printf "\"coreShare\": %.4f, \"controlSentBytesPerSecond\": %.0f, ", spent / hertz / seconds, sent / seconds
    printf "\"platformCallsPerSecond\": %.2f}\n", calls / seconds }'
