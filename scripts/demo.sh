#!/usr/bin/env bash
# Starts a small fleet on loopback, publishes an example configuration and sends traffic of every team.
#   --once                ends after the traffic; the last line counts what the upstreams really ran
#   --user NAME           marktpass (default) or cubeta-viva
#   --jobs                instead runs jobs of many tasks through kills, pauses and outages; the last lines count what
#                         was completed, lost and run twice
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
echo "entry hosts: callers $(targets entry-1 entry-2 entry-3), operators ${admin_of[entry-1]}"
printf '%-28s %10s %10s %10s %8s\n' service answered not_run unknown lost
run=0
total=(0 0 0 0)
for service in "${services[@]}"; do
    run=$((run + 1))
    line=$("$bin/standin_load" --targets="$(targets entry-1 entry-2 entry-3)" --teams="${keys%,}" --path="/v1/services/$service" \
        --requests=1500 --concurrency=24 --seed="$run" --keyed --repeat-key | tail -1)
    read -r answered not_run unknown lost mixed <<<"$(sed 's/[a-z_]*=//g' <<<"$line")"
    printf '%-28s %10s %10s %10s %8s\n' "$service" "$answered" "$not_run" "$unknown" "$((lost + mixed))"
    total=($((total[0] + answered)) $((total[1] + not_run)) $((total[2] + unknown)) $((total[3] + lost + mixed)))
done
echo
operate status
echo
duplicated=$(counts '["duplicated"]')
if [ -z "$once" ]; then
    echo "try:  curl -si -X POST http://${caller_of[entry-1]}/v1/services/${services[0]} -H 'Authorization: Bearer key-${teams[0]}' -d hello"
    echo "      $bin/jujubespool wave plan --entry=${admin_of[entry-1]}"
    echo "answered=${total[0]} not_run=${total[1]} unknown=${total[2]} lost=${total[3]} duplicated=$duplicated"
    echo "running until interrupted"
    while :; do sleep 1; done
fi
echo "answered=${total[0]} not_run=${total[1]} unknown=${total[2]} lost=${total[3]} duplicated=$duplicated"
[ "${total[3]}" = 0 ] && [ "$duplicated" = 0 ]
