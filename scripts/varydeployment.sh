#!/usr/bin/env bash
# Derives a variation of a deployment from its site file, with other engines, links or workspaces.
# Usage: varydeployment.sh SITE-FILE VARIATION > NEW-FILE
# Variations: slow, slow-b, small-memory, thin-links, small-plain, many-workspaces, two-areas.
set -euo pipefail
site=${1:?a site file is needed}
variation=${2:?a variation is needed}

# Sets parameter $1 of the engines to $2.
engine() { edits+=(-e "/llm = {/s/\b$1 = [0-9.]*/$1 = $2/"); }
# Sets the number of engines in the three data centres.
engines() {
    edits+=(-e "/llm = {/s/\(servers = \[{[^}]*count = \)[0-9]*\([^}]*}, {[^}]*count = \)[0-9]*\([^}]*}, {[^}]*count = \)[0-9]*/\1$1\2$2\3$3/")
}
# Appends digit $1 to the seed of each day.
seeds() { edits+=(-e "s/^seed = \([0-9]*\)$/seed = \1$1/"); }

edits=()
case $variation in
slow | slow-b)
    engine prefill_tokens_per_ms 28.0
    engine step_ms 7.0
    engine slots 32
    engine batch 32
    engine kv_tokens 260000
    edits+=(-e '/llm = {/s/link_mbps = [0-9.]*/link_mbps = 100000.0/')
    engines 6 4 2
    if [ "$variation" = slow-b ]; then seeds 7; fi
    ;;
small-memory)
    engine prefill_tokens_per_ms 150.0
    engine step_ms 3.0
    engine slots 48
    engine batch 48
    engine kv_tokens 150000
    edits+=(-e '/llm = {/s/link_mbps = [0-9.]*/link_mbps = 400000.0/')
    engines 2 2 2
    ;;
thin-links)
    engine prefill_tokens_per_ms 45.0
    engine step_ms 5.0
    engine slots 48
    engine batch 48
    engine kv_tokens 400000
    edits+=(-e '/llm = {/s/link_mbps = [0-9.]*/link_mbps = 15000.0/')
    engines 5 4 3
    edits+=(-e 's/^cross_zone_ms = .*/cross_zone_ms = 4.0/')
    ;;
small-plain)
    edits+=(-e '/on_full = /s/\bslots = [0-9]*/slots = 2/')
    ;;
many-workspaces)
    edits+=(-e '/^\[tenants\]/,/^$/s/^count = .*/count = 60/')
    engines 7 3 2
    ;;
two-areas)
    # Every second data centre moves to another area; one route of each kind of service has a home.
    edits+=(-e '/^zones = \[/,/^\]/{n;s/region = "[^"]*"/region = "other"/}')
    edits+=(-e 's/^cross_region_ms = .*/cross_region_ms = 4.0/')
    home=$(sed -n '/^zones = \[/,/^\]/s/.*region = "\([^"]*\)".*/\1/p' "$site" | head -1)
    edits+=(-e "0,/, kind = \"stream\"/s//, homes = [\"$home\"], kind = \"stream\"/")
    edits+=(-e '0,/, kind = "safe"/s//, homes = ["other"], kind = "safe"/')
    ;;
*)
    echo "unknown variation: $variation" >&2
    exit 2
    ;;
esac
sed "${edits[@]}" "$site"
