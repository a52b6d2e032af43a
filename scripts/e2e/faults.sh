#!/usr/bin/env bash
# Runs the real binaries while an entry host is killed, paused, partitioned and stopped and the platform is unavailable.
# Checks with the counts of the upstreams that no request runs twice and that no limit is exceeded.
set -uo pipefail
source "$(dirname "$0")/../fleet.sh"
problems=0
expect() { # NAME ACTUAL OPERATOR EXPECTED
    if [ "$2" "$3" "$4" ]; then echo "ok: $1"; else echo "FAILED: $1: expected $3 $4, got $2"; problems=$((problems + 1)); fi
}
# load_count KEY LINE prints a count of the last line of standin_load.
load_count() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" <<<"$2"; }

start_fleet marktpass entry-1:lausanne entry-2:geneva entry-3:sion || exit 1
all_addresses=$(caller_addresses entry-1 entry-2 entry-3)
keys=key-canton-vaud,key-canton-geneva,key-town-vevey
seed=0
# start_load OPTIONS... sends requests with idempotency keys to a service whose requests must not be repeated. Each key is sent
# through two entry hosts.
start_load() {
    seed=$((seed + 1))
    start_process load "$bin/standin_load" --targets="$all_addresses" --teams="$keys" --path=/v1/services/fee-posting/post --seed="$seed" \
        --run-us=20000 --concurrency=24 --repeat-key --requests=100000 "$@"
}
finish_load() { wait "${pid_of[load]}"; result=$(tail -1 "$fleet_dir/load.log"); }
check_invariants() {
    expect "$1: no request runs twice" "$(upstream_counts '["duplicated"]')" -eq 0
    expect "$1: no caller gets the response of another caller" "$(load_count mixed_up "$result")" -eq 0
    expect "$1: the limit of town-vevey is not exceeded" "$(upstream_counts '["most_per_team"].get("town-vevey", 0)')" -le 2
    expect "$1: the slots of each host are not exceeded" "$(upstream_counts '["most_per_worker"]')" -le 8
    expect "$1: requests are answered" "$(load_count answered "$result")" -gt 100
}

start_load --seconds=3
sleep 0.8
kill -9 "${pid_of[entry-2]}"
sleep 0.4
start_entry entry-2 geneva
wait_until 5 is_ready entry-2
finish_load
check_invariants "kill"
all_addresses=$(caller_addresses entry-1 entry-2 entry-3)

start_load --seconds=3
sleep 0.5
kill -STOP "${pid_of[entry-3]}"
sleep 1.5
kill -CONT "${pid_of[entry-3]}"
finish_load
check_invariants "pause"
expect "pause: no response is lost" "$(load_count lost "$result")" -eq 0

start_load --seconds=3
sleep 0.5
set_platform_faults '{"outage": true}'
sleep 2
set_platform_faults '{"outage": false}'
finish_load
check_invariants "outage"
expect "outage: no response is lost" "$(load_count lost "$result")" -eq 0
expect "outage: the outcome of every request is known" "$(load_count unknown "$result")" -eq 0

start_load --seconds=3 --timeout-ms=1000
sleep 0.5
set_platform_faults '{"partition": ["entry-3"]}'
curl -s -o "$fleet_dir/cut" -X POST "http://${admin_of[entry-3]}/v1/faults" -d '{"cut_peers": true}'
sleep 1.5
set_platform_faults '{"partition": [], "lose_answers": 5}'
curl -s -o "$fleet_dir/cut" -X POST "http://${admin_of[entry-3]}/v1/faults" -d '{"cut_peers": false}'
finish_load
check_invariants "partition"
expect "partition: no response is lost" "$(load_count lost "$result")" -eq 0

start_load --seconds=3
sleep 0.5
kill -TERM "${pid_of[entry-1]}"
sleep 0.1
is_ready entry-1
expect "stop: the entry host is not ready while it stops" "$?" -ne 0
wait "${pid_of[entry-1]}"
expect "stop: the exit code is 0" "$?" -eq 0
finish_load
check_invariants "stop"
expect "stop: no response is lost" "$(load_count lost "$result")" -eq 0
expect "stop: the entry host hands over its permits" "$(grep -c 'event=stopped.*handed_over=yes' "$fleet_dir/entry-1.log")" -eq 1
echo "$problems problems"
[ "$problems" -eq 0 ]
