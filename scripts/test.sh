#!/usr/bin/env bash
# Installs missing packages, builds the project and runs all tests and linters. Last line: "N passed, N failed".
#   --seeds N     runs each fault schedule with N seeds instead of the number that CI uses
#   --mutants     runs the mutation tests instead; the unit tests must fail for each mutant
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
. scripts/known_red.sh
# run_tests BINARY FILTER prints the output of the tests that match the filter.
run_tests() { "$1" --jobs "$(nproc)" --filter "$2" 2>&1 | sed 's/\x1b\[[0-9;]*m//g'; }
for test in "${known_red[@]}"; do
    outcome=missing
    for binary in build/*_test; do
        case "$(run_tests "$binary" "$test" | grep -a 'Synthesis:')" in
        *'Tested: 0 '*) ;;
        *'Failing: 0 | Crashing: 0'*) outcome=passes ;;
        *) outcome=red ;;
        esac
    done
    if [ "$outcome" = red ]; then
        echo "KNOWN RED: $test"
    else
        echo "FAILED: KNOWN-RED.txt lists $test, but it is $outcome"
        failed=$((failed + 1))
    fi
done
for binary in build/*_test; do
    report=$(run_tests "$binary" "$without_known_red")
    summary=$(grep -a 'Synthesis:' <<<"$report")
    passing=$(sed -n 's/.*Passing: \([0-9]*\).*/\1/p' <<<"$summary")
    failing=$(sed -n 's/.*Failing: \([0-9]*\).*/\1/p' <<<"$summary")
    crashing=$(sed -n 's/.*Crashing: \([0-9]*\).*/\1/p' <<<"$summary")
    if [ -z "$passing" ] || [ "${failing:-0}" != 0 ] || [ "${crashing:-0}" != 0 ]; then echo "$report"; fi
    echo "$(basename "$binary"): ${passing:-0} passed, $((${failing:-1} + ${crashing:-0})) failed"
    passed=$((passed + ${passing:-0}))
    failed=$((failed + ${failing:-1} + ${crashing:-0}))
done
# Each end-to-end script starts its own fleet on ports that the kernel chooses, so the scripts can run in parallel.
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
# Clients outside the limits, one crowd at a time and beside nothing else: the bounds are of memory and descriptors.
for crowd in $(python3 scripts/crowd/crowd.py --list); do
    known=$(grep -c "^crowd.py $crowd " KNOWN-RED.txt)
    if python3 scripts/crowd/crowd.py "$crowd" >"$outputs/crowd" 2>&1; then
        [ "$known" -eq 0 ] && passed=$((passed + 1)) && continue
        echo "FAILED: KNOWN-RED.txt lists crowd.py $crowd, but it passes"
        failed=$((failed + 1))
    elif [ "$known" -gt 0 ]; then
        echo "KNOWN RED: crowd.py $crowd: $(tail -1 "$outputs/crowd")"
    else
        failed=$((failed + 1))
        cat "$outputs/crowd"
    fi
done
echo "scripts/crowd/crowd.py: played"
lint=$(scripts/lint.sh)
[ "$(tail -1 <<<"$lint")" = "$lint" ] || echo "$lint" | head -60
echo "${lint##*$'\n'}"
passed=$((passed + $(sed -n 's/^lint \([0-9]*\) passed.*/\1/p' <<<"$lint")))
failed=$((failed + $(sed -n 's/^lint .* \([0-9]*\) failed$/\1/p' <<<"$lint")))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
