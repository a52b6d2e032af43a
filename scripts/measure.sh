#!/usr/bin/env bash
# Runs the measurements that docs/MEASURES.md describes. Prints key=value lines; each baseline is measured in the same run.
#   --seed N     seed of all random number generators (default 1)
#   --only LIST  comma-separated list of: path, permits, once, share, retry, waves, placement, replay, detectors, capacity, scale
#   --quick      shorter runs, less than a minute in total
set -uo pipefail
cd "$(dirname "$0")/.."
seed=1
only=path,permits,once,share,retry,waves,replay,detectors,capacity,scale
quick=
while [ $# -gt 0 ]; do
    case "$1" in
    --seed) seed=${2:?--seed takes a number}; shift 2 ;;
    --only) only=${2:?--only takes a list}; shift 2 ;;
    --quick) quick=1; shift ;;
    *) echo "usage: scripts/measure.sh [--seed N] [--only LIST] [--quick]" >&2; exit 2 ;;
    esac
done
scripts/install.sh && scripts/build.sh || exit 1

# value KEY LINE prints the number of the key in the line.
value() { sed -n "s/.*$1=\([0-9.]*\).*/\1/p" <<<"$2"; }

measure_path() {
    source scripts/fleet.sh
    upstream_options=(--run-us=0)
    local requests=${quick:+4000}
    requests=${requests:-20000}
    start_fleet marktpass entry-1:lausanne || exit 1
    local upstream_address load direct through
    upstream_address=$(head -1 "$fleet_dir/addresses")
    load=("$bin/standin_load" --teams=key-canton-vaud=v --seed="$seed" --path=/v1/services/badge-check/scan)
    "${load[@]}" --targets="${caller_of[entry-1]}" --requests=1000 --concurrency=8 >/dev/null
    direct=$("${load[@]}" --targets="$upstream_address" --requests="$requests" --concurrency=1)
    through=$("${load[@]}" --targets="${caller_of[entry-1]}" --requests="$requests" --concurrency=1)
    echo "path.direct_p50_us=$(value p50_us "$direct")"
    echo "path.through_p50_us=$(value p50_us "$through")"
    echo "path.added_p50_us=$(($(value p50_us "$through") - $(value p50_us "$direct")))"
    echo "path.added_p99_us=$(($(value p99_us "$through") - $(value p99_us "$direct")))"
    direct=$("${load[@]}" --targets="$upstream_address" --requests="$requests" --concurrency=16)
    through=$("${load[@]}" --targets="${caller_of[entry-1]}" --requests="$requests" --concurrency=16)
    echo "path.direct_per_s=$(value requests_per_s "$direct")"
    echo "path.through_per_s=$(value requests_per_s "$through")"
    python3 -c "print(f'path.share_of_direct={$(value requests_per_s "$through") / $(value requests_per_s "$direct"):.3f}')"
    local ticks_before
    ticks_before=$(awk '{print $14 + $15}' "/proc/${pid_of[entry-1]}/stat")
    sleep 5
    echo "path.idle_core_share=$(awk -v before="$ticks_before" '{printf "%.4f", ($14 + $15 - before) / 100 / 5}' "/proc/${pid_of[entry-1]}/stat")"
    echo "path.entry_host_rss_mib=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pid_of[entry-1]}/status")"
}

if [[ ",$only," == *,path,* ]]; then (measure_path); fi
measurements=$(tr ',' '\n' <<<"$only" | grep -v '^path$' | paste -sd,)
[ -z "$measurements" ] || build/measure --seed="$seed" --only="$measurements" ${quick:+--quick}
