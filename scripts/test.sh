#!/usr/bin/env bash
# Installs what is missing, builds, runs every test and linter. Last line: "N passed, N failed".
#   --seeds N     runs each fault schedule with N seeds instead of CI's
#   --mutants     instead runs the deliberate breaks of the core, each of which must be caught
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=
mutants=
while [ $# -gt 0 ]; do
    case "$1" in
    --seeds) seeds=${2:?--seeds takes a number}; shift 2 ;;
    --mutants) mutants=1; shift ;;
    *) echo "usage: scripts/test.sh [--seeds N] [--mutants]" >&2; exit 2 ;;
    esac
done
scripts/install.sh && scripts/build.sh || { echo "0 passed, 1 failed"; exit 1; }
export JUJUBESPOOL_SEEDS=${seeds:-}
if [ -n "$mutants" ]; then exec scripts/mutants.sh; fi
passed=0
failed=0
for binary in build/*_test; do
    report=$("$binary" --jobs "$(nproc)" 2>&1)
    line=$(grep -a 'Synthesis:' <<<"$report" | sed 's/\x1b\[[0-9;]*m//g')
    good=$(sed -n 's/.*Passing: \([0-9]*\).*/\1/p' <<<"$line")
    bad=$(sed -n 's/.*Failing: \([0-9]*\).*/\1/p' <<<"$line")
    crashed=$(sed -n 's/.*Crashing: \([0-9]*\).*/\1/p' <<<"$line")
    if [ -z "$good" ] || [ "${bad:-0}" != 0 ] || [ "${crashed:-0}" != 0 ]; then echo "$report"; fi
    echo "$(basename "$binary"): ${good:-0} passed, $((${bad:-1} + ${crashed:-0})) failed"
    passed=$((passed + ${good:-0}))
    failed=$((failed + ${bad:-1} + ${crashed:-0}))
done
# The end-to-end scripts start fleets of their own on ports that the kernel chooses, so they run side by side.
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT
for script in scripts/e2e/*.sh; do
    { bash "$script" >"$outputs/$(basename "$script")" 2>&1 && touch "$outputs/$(basename "$script").passed"; } &
done
wait
for script in scripts/e2e/*.sh; do
    output=$outputs/$(basename "$script")
    grep '^KNOWN RED' "$output"
    if [ -e "$output.passed" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        cat "$output"
    fi
    echo "$script: $(tail -1 "$output")"
done
lint=$(scripts/lint.sh)
[ "$(tail -1 <<<"$lint")" = "$lint" ] || echo "$lint" | head -60
echo "${lint##*$'\n'}"
passed=$((passed + $(sed -n 's/^lint \([0-9]*\) passed.*/\1/p' <<<"$lint")))
failed=$((failed + $(sed -n 's/^lint .* \([0-9]*\) failed$/\1/p' <<<"$lint")))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
