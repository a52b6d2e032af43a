#!/usr/bin/env bash
# Runs the commands of operators with the real binaries: concurrent editions, API keys, drains, moves, waves, log retention
# and records that cannot be decoded.
set -uo pipefail
source "$(dirname "$0")/../fleet.sh"
problems=0
# check NAME COMMAND... counts a problem unless the command succeeds.
check() {
    local name=$1
    shift
    if "$@" >"$fleet_dir/out" 2>&1; then echo "ok: $name"; else echo "FAILED: $name: $*: $(head -3 "$fleet_dir/out")"; problems=$((problems + 1)); fi
}
fails() { ! "$@"; }
# outputs PATTERN COMMAND... succeeds if the output of the command matches the pattern.
outputs() {
    local pattern=$1
    shift
    local output
    output=$("$@" 2>&1)
    grep -q -- "$pattern" <<<"$output"
}
# request_status ENTRY SERVICE API_KEY sends a request and prints the HTTP status.
request_status() { curl -s -o "$fleet_dir/answer" -w '%{http_code}' -X POST "http://${caller_of[$1]}/v1/services/$2/x" -H "Authorization: Bearer $3" -d hi; }
host_line() { run_cli host list | grep "^$1 "; }
host_matches() { host_line "$1" | grep -q -- "$2"; }
# responds_with STATUS ENTRY SERVICE API_KEY
responds_with() { [ "$(request_status "$2" "$3" "$4")" = "$1" ]; }

start_fleet cubeta-viva entry-1:san-jose entry-2:cartago entry-3:heredia || exit 1
edition=$(run_cli show --json | python3 -c 'import json, sys; print(json.load(sys.stdin)["offset"])')
sed 's/share: 40/share: 41/' "$fleet_dir/fleet.yaml" >"$fleet_dir/first.yaml"
sed 's/share: 40/share: 42/' "$fleet_dir/fleet.yaml" >"$fleet_dir/second.yaml"
check "an edition is published" run_cli publish "$fleet_dir/first.yaml" --base="$edition"
check "a concurrent edition is rejected" fails run_cli publish "$fleet_dir/second.yaml" --base="$edition"
check "the rejection shows the difference" outputs 'share: 41' run_cli publish "$fleet_dir/second.yaml" --base="$edition"
sed 's/limit: 60/limit: 0/' "$fleet_dir/fleet.yaml" >"$fleet_dir/bad.yaml"
check "an invalid configuration is rejected with the line number" outputs 'bad.yaml:[0-9]*: team flores-del-valle' "$bin/jujubespool" check "$fleet_dir/bad.yaml"
check "the first edition is current on another entry host" wait_until 2 outputs 'share: 41' "$bin/jujubespool" show --entry="${admin_of[entry-3]}"

check "an unknown key is rejected" responds_with 401 entry-1 route-plan key-nobody
check "an unknown service is rejected" responds_with 404 entry-1 nowhere key-finca-rosa
check "a known key is accepted" responds_with 200 entry-3 route-plan key-finca-rosa
check "a key is granted" run_cli key grant finca-rosa --key=fresh
check "another entry host accepts the granted key" wait_until 2 responds_with 200 entry-2 route-plan fresh
set_platform_faults '{"outage": true}'
check "a key is withdrawn while the log is unavailable" run_cli key withdraw finca-rosa --key=key-finca-rosa
check "another entry host rejects the withdrawn key" wait_until 3 responds_with 401 entry-3 route-plan key-finca-rosa
set_platform_faults '{"outage": false}'
sleep 1

check "a host drain is accepted" run_cli host drain ledger-pool-00
check "the host is drained" wait_until 3 host_matches ledger-pool-00 drained
check "a drain beyond the budget is rejected" outputs 'may have 2' bash -c "for i in 01 02 03; do '$bin/jujubespool' host drain ledger-pool-\$i --entry=${admin_of[entry-1]}; done"
for i in 00 01 02; do run_cli host undrain ledger-pool-$i >/dev/null 2>&1; done
check "a host move is accepted" run_cli host move ledger-pool-05 --pool=spare
check "the host has moved" wait_until 3 host_matches ledger-pool-05 'spare '

check "a wave is planned" outputs 'lower bound 5' run_cli wave plan --pool=settlement-pool
check "a wave starts" run_cli wave start upgrade --pool=settlement-pool --version-to=v2
kill -9 "${pid_of[entry-3]}"
set_platform_faults '{"list": {"entry-3": "gone"}}'
wave_done() { run_cli wave status | grep -q 'upgrade .*finished'; }
check "the wave finishes although an entry host crashes" wait_until 20 wave_done
check "each host runs the new version" outputs 'settlement-pool-09 .* v2' run_cli host list
reboots=$(for i in 0 1 2 3 4 5 6 7 8 9; do curl -s "http://$platform/v1/machines/settlement-pool-0$i"; done | grep -o '"reboots":[0-9]*' | sort | uniq -c | tr -s ' ')
check "each host is rebooted once" [ "$reboots" = ' 10 "reboots":1' ]

set_platform_faults '{"append_raw": "bm90IGEgcmVjb3JkIQ=="}'
sleep 0.5
check "a record that cannot be decoded is counted" outputs 'records_undecodable 1' curl -s "http://${admin_of[entry-1]}/metrics"
snapshot() { curl -s "http://${admin_of[entry-1]}/status" | python3 -c 'import json, sys; print(json.load(sys.stdin)["log"]["snapshot_offset"])'; }
start_entry entry-4 heredia "log_retention_ms: 2000"
has_snapshot() { [ "$(snapshot)" -gt 0 ]; }
kill -TERM "${pid_of[entry-1]}"
wait "${pid_of[entry-1]}"
kill -TERM "${pid_of[entry-2]}"
wait "${pid_of[entry-2]}"
admin_of[entry-1]=${admin_of[entry-4]}
check "a snapshot is published" wait_until 10 has_snapshot
set_platform_faults "{\"cut_before\": $(snapshot)}"
start_entry entry-5 cartago
operator=entry-5
check "an entry host that starts after the log was truncated becomes ready" wait_until 5 is_ready entry-5
check "the new entry host shows the current edition" outputs 'share: 41' run_cli show
check "the new entry host rejects the withdrawn key" responds_with 401 entry-5 route-plan key-finca-rosa
check "the new entry host shows the moved host" host_matches ledger-pool-05 'spare '
echo "$problems problems"
[ "$problems" -eq 0 ]
