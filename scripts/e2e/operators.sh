#!/usr/bin/env bash
# What operators do, with the real binaries: races, keys, drains, moves, waves, retention, bad records.
set -uo pipefail
source "$(dirname "$0")/../fleet.sh"
problems=0
check() { # NAME COMMAND... expects success
    local name=$1
    shift
    if "$@" >"$fleet_dir/out" 2>&1; then echo "ok: $name"; else echo "FAILED: $name: $*: $(head -3 "$fleet_dir/out")"; problems=$((problems + 1)); fi
}
refuses() { ! "$@"; }
says() { # PATTERN COMMAND... expects the pattern in the output
    local pattern=$1
    shift
    local output
    output=$("$@" 2>&1)
    grep -q -- "$pattern" <<<"$output"
}
status_of() { curl -s -o "$fleet_dir/answer" -w '%{http_code}' -X POST "http://${caller_of[$1]}/v1/services/$2/x" -H "Authorization: Bearer $3" -d hi; }
host_line() { operate host list | grep "^$1 "; }
host_is() { host_line "$1" | grep -q -- "$2"; }
gets() { [ "$(status_of "$2" "$3" "$4")" = "$1" ]; }

start_fleet cubeta-viva entry-1:san-jose entry-2:cartago entry-3:heredia || exit 1
edition=$(operate show --json | python3 -c 'import json, sys; print(json.load(sys.stdin)["offset"])')
sed 's/share: 40/share: 41/' "$fleet_dir/fleet.yaml" >"$fleet_dir/first.yaml"
sed 's/share: 40/share: 42/' "$fleet_dir/fleet.yaml" >"$fleet_dir/second.yaml"
check "an edition is published" operate publish "$fleet_dir/first.yaml" --base="$edition"
check "a racing edition is refused" refuses operate publish "$fleet_dir/second.yaml" --base="$edition"
check "the refusal shows the difference" says 'share: 41' operate publish "$fleet_dir/second.yaml" --base="$edition"
sed 's/limit: 60/limit: 0/' "$fleet_dir/fleet.yaml" >"$fleet_dir/bad.yaml"
check "a bad text is refused with its line" says 'bad.yaml:[0-9]*: team flores-del-valle' "$bin/jujubespool" check "$fleet_dir/bad.yaml"
check "the first edition is in force everywhere" await 2 says 'share: 41' "$bin/jujubespool" show --entry="${admin_of[entry-3]}"

check "an unknown key is refused" gets 401 entry-1 route-plan key-nobody
check "an unknown service is refused" gets 404 entry-1 nowhere key-finca-rosa
check "a key works" gets 200 entry-3 route-plan key-finca-rosa
check "a key is granted" operate key grant finca-rosa --key=fresh
check "the granted key works elsewhere" await 2 gets 200 entry-2 route-plan fresh
platform_faults '{"outage": true}'
check "a key is withdrawn while the log is away" operate key withdraw finca-rosa --key=key-finca-rosa
check "the key stops elsewhere" await 3 gets 401 entry-3 route-plan key-finca-rosa
platform_faults '{"outage": false}'
sleep 1

check "a host drains" operate host drain ledger-pool-00
check "the host is drained" await 3 host_is ledger-pool-00 drained
check "the budget bounds drains" says 'may have 2' bash -c "for i in 01 02 03; do '$bin/jujubespool' host drain ledger-pool-\$i --entry=${admin_of[entry-1]}; done"
for i in 00 01 02; do operate host undrain ledger-pool-$i >/dev/null 2>&1; done
check "a host moves" operate host move ledger-pool-05 --pool=spare
check "the host has moved" await 3 host_is ledger-pool-05 'spare '

check "a wave is planned" says 'lower bound 5' operate wave plan --pool=settlement-pool
check "a wave starts" operate wave start upgrade --pool=settlement-pool --version-to=v2
kill -9 "${pid_of[entry-3]}"
platform_faults '{"list": {"entry-3": "gone"}}'
wave_done() { operate wave status | grep -q 'upgrade .*finished'; }
check "the wave finishes although an entry host dies" await 20 wave_done
check "each host runs the new version" says 'settlement-pool-09 .* v2' operate host list
reboots=$(for i in 0 1 2 3 4 5 6 7 8 9; do curl -s "http://$platform/v1/machines/settlement-pool-0$i"; done | grep -o '"reboots":[0-9]*' | sort | uniq -c | tr -s ' ')
check "each host is rebooted once" [ "$reboots" = ' 10 "reboots":1' ]

platform_faults '{"append_raw": "bm90IGEgcmVjb3JkIQ=="}'
sleep 0.5
check "a record that does not decode is counted" says 'records_undecodable 1' curl -s "http://${admin_of[entry-1]}/metrics"
snapshot() { curl -s "http://${admin_of[entry-1]}/status" | python3 -c 'import json, sys; print(json.load(sys.stdin)["log"]["snapshot_offset"])'; }
start_entry entry-4 heredia "log_retention_ms: 2000"
has_snapshot() { [ "$(snapshot)" -gt 0 ]; }
kill -TERM "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}"
kill -TERM "${pid_of[entry-2]}"
wait "${pid_of[entry-2]}"
admin_of[entry-1]=${admin_of[entry-4]}
check "a snapshot is published" await 10 has_snapshot
platform_faults "{\"cut_before\": $(snapshot)}"
start_entry entry-5 cartago
operator=entry-5
check "a host that starts after the cut is ready" await 5 is_ready entry-5
check "it knows the edition in force" says 'share: 41' operate show
check "it knows the withdrawal" gets 401 entry-5 route-plan key-finca-rosa
check "it knows the moved host" host_is ledger-pool-05 'spare '
echo "$problems problems"
[ "$problems" -eq 0 ]
