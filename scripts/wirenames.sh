#!/usr/bin/env bash
# Checks that names of the users' platform stand in platform/ alone: elsewhere the code speaks the
# project's own words, so that another platform needs another folder and nothing else. Takes the
# folder of a checkout, this one by default; tests/wirenames.sh shows that it fails on a stray name.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
names='X-(Attempt-Id|Time-Budget|Prompt-Prefix|Token-Count|Model|Tenant|Expect-Instance|Server-Stamp'
names+='|Not-Executed|Replica-Load|Replica-Id|Urgency-Class|Hold|Pin-Time|Kv-Backup)|Kv-(From|Fetch)'
names+='|"(pathPrefix|maxAttempts|goalMs|timeoutMs|gapGoalMs|apiKeys|healthPath|connLimit|kvCapacity'
names+='|asOf|hasMore|afterRev|waitMs|coldLeftMs|draining|non_idempotent)"|/objects/(config|servers)|fleetbench'
if grep -rInE "$names" --include='*.cpp' --include='*.h' --include='*.proto' \
    include src daemon gateway net ctl lab proto/peer.proto; then
    echo "names of the platform outside platform/" >&2
    exit 1
fi
echo "names of the platform stand in platform/ alone"
