#!/usr/bin/env bash
# Starts a small fleet on the loopback interface, publishes an example configuration and sends requests for each team.
#   --once                exits after the traffic; the last line has the counts of the responses and of the requests that
#                         the upstreams ran more than once
#   --user NAME           user whose example configuration is published: marktpass (default) or cubeta-viva
#   --jobs                runs jobs with many tasks instead, while processes are killed and paused and services are
#                         unavailable; the last lines count the tasks that were completed, lost and run twice
set -uo pipefail
cd "$(dirname "$0")/.."
once=
jobs=
user=marktpass
while [ $# -gt 0 ]; do
    case "$1" in
    --once) once=1; shift ;;
    --user) user=${2:?--user takes a name}; shift 2 ;;
    --jobs) jobs=1; shift ;;
    *) echo "usage: scripts/demo.sh [--jobs] [--once] [--user marktpass|cubeta-viva]" >&2; exit 2 ;;
    esac
done
scripts/install.sh && scripts/build.sh || exit 1
if [ -n "$jobs" ]; then exec python3 scripts/soak.py --seed 7 --seconds 12; fi
source scripts/fleet.sh
if [ "$user" = marktpass ]; then
    centers=(lausanne geneva sion)
    services=(badge-check/scan badge-issue/print permit-renewal/renew fee-posting/post)
    teams=(canton-vaud canton-geneva canton-valais town-morges town-nyon town-vevey)
else
    centers=(san-jose cartago heredia)
    services=(route-plan/plan tag-print/print settlement/run ledger/post)
    teams=(flores-del-valle finca-rosa vivero-norte hotel-drivers market-drivers growers-small)
fi
start_fleet "$user" entry-1:"${centers[0]}" entry-2:"${centers[1]}" entry-3:"${centers[2]}" || exit 1
keys=$(printf 'key-%s=%s,' $(for team in "${teams[@]}"; do echo "$team" "$team"; done))
echo "entry hosts: callers $(caller_addresses entry-1 entry-2 entry-3), operators ${admin_of[entry-1]}"
printf '%-28s %10s %10s %10s %8s\n' service answered not_run unknown lost
seed=0
totals=(0 0 0 0)
for service in "${services[@]}"; do
    seed=$((seed + 1))
    result=$("$bin/standin_load" --targets="$(caller_addresses entry-1 entry-2 entry-3)" --teams="${keys%,}" --path="/v1/services/$service" \
        --requests=1500 --concurrency=24 --seed="$seed" --keyed --repeat-key | tail -1)
    read -r answered not_run unknown lost mixed_up <<<"$(sed 's/[a-z_]*=//g' <<<"$result")"
    printf '%-28s %10s %10s %10s %8s\n' "$service" "$answered" "$not_run" "$unknown" "$((lost + mixed_up))"
    totals=($((totals[0] + answered)) $((totals[1] + not_run)) $((totals[2] + unknown)) $((totals[3] + lost + mixed_up)))
done
echo
run_cli status
echo
duplicated=$(upstream_counts '["duplicated"]')
if [ -z "$once" ]; then
    echo "try:  curl -si -X POST http://${caller_of[entry-1]}/v1/services/${services[0]} -H 'Authorization: Bearer key-${teams[0]}' -d hello"
    echo "      $bin/jujubespool wave plan --entry=${admin_of[entry-1]}"
    echo "answered=${totals[0]} not_run=${totals[1]} unknown=${totals[2]} lost=${totals[3]} duplicated=$duplicated"
    echo "running; press Ctrl-C to stop"
    while :; do sleep 1; done
fi
echo "answered=${totals[0]} not_run=${totals[1]} unknown=${totals[2]} lost=${totals[3]} duplicated=$duplicated"
[ "${totals[3]}" = 0 ] && [ "$duplicated" = 0 ]
