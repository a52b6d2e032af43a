#!/usr/bin/env bash
# Real binaries under kill, pause, outage, partition and a graceful stop; what ran is counted at the upstreams.
set -uo pipefail
source "$(dirname "$0")/../fleet.sh"
problems=0
expect() { # NAME ACTUAL RELATION EXPECTED
    if [ "$2" "$3" "$4" ]; then echo "ok: $1"; else echo "FAILED: $1: expected $3 $4, got $2"; problems=$((problems + 1)); fi
}
figure() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" <<<"$2"; }

start_fleet marktpass entry-1:lausanne entry-2:geneva entry-3:sion || exit 1
all=$(targets entry-1 entry-2 entry-3)
keys=key-canton-vaud,key-canton-geneva,key-town-vevey
run=0
start_load() { # OPTIONS... starts keyed traffic that may not be repeated, each key through two hosts.
    run=$((run + 1))
    start_process load "$bin/standin_load" --targets="$all" --teams="$keys" --path=/v1/services/fee-posting/post --seed="$run" \
        --run-us=20000 --concurrency=24 --repeat-key --requests=100000 "$@"
}
finish_load() { wait "${pid_of[load]}"; result=$(tail -1 "$fleet_dir/load.log"); }
check_invariants() {
    expect "$1: nothing ran twice" "$(counts '["duplicated"]')" -eq 0
    expect "$1: no answer of another caller" "$(figure mixed_up "$result")" -eq 0
    expect "$1: the limit of town-vevey holds" "$(counts '["most_per_team"].get("town-vevey", 0)')" -le 2
    expect "$1: the slots of each host hold" "$(counts '["most_per_worker"]')" -le 8
    expect "$1: work ran" "$(figure answered "$result")" -gt 100
}

start_load --seconds=3
sleep 0.8
kill -9 "${pid_of[entry-2]}"
sleep 0.4
start_entry entry-2 geneva
await 5 is_ready entry-2
finish_load
check_invariants "kill"
all=$(targets entry-1 entry-2 entry-3)

start_load --seconds=3
sleep 0.5
kill -STOP "${pid_of[entry-3]}"
sleep 1.5
kill -CONT "${pid_of[entry-3]}"
finish_load
check_invariants "pause"
expect "pause: no answer is lost" "$(figure lost "$result")" -eq 0

start_load --seconds=3
sleep 0.5
platform_faults '{"outage": true}'
sleep 2
platform_faults '{"outage": false}'
finish_load
check_invariants "outage"
expect "outage: no answer is lost" "$(figure lost "$result")" -eq 0
expect "outage: the outcome of every request is known" "$(figure unknown "$result")" -eq 0

start_load --seconds=3 --timeout-ms=1000
sleep 0.5
platform_faults '{"partition": ["entry-3"]}'
curl -s -o "$fleet_dir/cut" -X POST "http://${admin_of[entry-3]}/v1/faults" -d '{"cut_peers": true}'
sleep 1.5
platform_faults '{"partition": [], "lose_answers": 5}'
curl -s -o "$fleet_dir/cut" -X POST "http://${admin_of[entry-3]}/v1/faults" -d '{"cut_peers": false}'
finish_load
check_invariants "partition"
expect "partition: no answer is lost" "$(figure lost "$result")" -eq 0

start_load --seconds=3
sleep 0.5
kill -TERM "${pid_of[entry-1]}"
sleep 0.1
is_ready entry-1
expect "stop: readiness goes first" "$?" -ne 0
wait "${pid_of[entry-1]}"
expect "stop: the exit code" "$?" -eq 0
finish_load
check_invariants "stop"
expect "stop: no answer is lost" "$(figure lost "$result")" -eq 0
expect "stop: the permits are handed on" "$(grep -c 'event=stopped.*handed_over=yes' "$fleet_dir/entry-1.log")" -eq 1
echo "$problems problems"
[ "$problems" -eq 0 ]
