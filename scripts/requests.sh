#!/usr/bin/env bash
# Measures CPU time and bytes sent to peers per request, over all routers of the "lowther" deployment
# (6 routers, stand-in engines) at RATE requests per second; CPU time of the idle fleet is deducted.
# usage: scripts/requests.sh RATE [SECONDS]
# PLANTAIN_PORT_OFFSET is added to all ports.
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:?RATE}
seconds=${2:-10}
offset=${PLANTAIN_PORT_OFFSET:-0}
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
routers=()
operators=()
for settings in $(build/plantain-lab settings --deployment lowther --directory "$work" \
    --port-offset "$offset"); do
    build/plantaind --config "$settings" 2>"$settings.log" &
    started+=("$!")
    routers+=("$!")
    operators+=("127.0.0.1:$(grep -A3 '"operators"' "$settings" | awk '/port/ {print $2}')")
done
for each in "${operators[@]}"; do
    until curl -sf "$each/readyz" >/dev/null; do sleep 0.2; done
done
sleep 3
ticks() { for each in "${routers[@]}"; do awk '{print $14 + $15}' "/proc/$each/stat"; done | awk '{s += $1} END {print s}'; }
metric() { for each in "${operators[@]}"; do curl -s "$each/metrics"; done | awk -v name="plantainswitch_$1" '$1 == name {s += $2} END {print s + 0}'; }
idle0=$(ticks)
sleep "$seconds"
idle1=$(ticks)
sent0=$(metric control_sent_bytes_total)
asked0=$(metric requests_total)
build/plantain-lab load --deployment lowther --port-offset "$offset" --rate "$rate" \
    --seconds "$seconds" >"$work/load.json" || cat "$work/load.json" >&2
ticks1=$(ticks)
sent1=$(metric control_sent_bytes_total)
asked1=$(metric requests_total)
awk -v rate="$rate" -v asked="$((asked1 - asked0))" -v sent="$((sent1 - sent0))" \
    -v spent="$((ticks1 - idle1 - (idle1 - idle0)))" -v hertz="$(getconf CLK_TCK)" \
    'BEGIN {
    printf "{\"rate\": %d, \"requests\": %d, \"coreMillisecondsPerRequest\": %.3f, ", rate, asked, 1000 * spent / hertz / asked
    printf "\"controlSentBytesPerRequest\": %.0f}\n", sent / asked }'
