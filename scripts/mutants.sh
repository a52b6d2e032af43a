#!/usr/bin/env bash
# Mutation test: applies each mutant of scripts/mutants.txt to a temporary copy of the project, builds it and runs the unit
# tests. The tests must fail for each mutant. Each line of mutants.txt is: name | file | text | replacement. In text and
# replacement, "or" stands for "||", because "|" separates the fields. Last line: "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
git ls-files --cached --others --exclude-standard -z | xargs -0 cp --parents -t "$work_dir"
cd "$work_dir" || exit 1
cmake --preset default -DWARNINGS_AS_ERRORS= >/dev/null || exit 1
passed=0
failed=0
test_binaries=(core_test entry_test jobs_test manager_test)
# The tests that KNOWN-RED.txt lists fail without any mutant, so they are passed over.
. scripts/known_red.sh
# all_pass runs the test binaries until one fails.
all_pass() {
    local binary
    for binary in "${test_binaries[@]}"; do
        "build/$binary" --jobs "$(nproc)" --filter "$without_known_red" >"$binary.log" 2>&1 || return 1
    done
}
while IFS='|' read -r name file text replacement; do
    [ -z "$name" ] && continue
    cp "$file" original
    TEXT=$text REPLACEMENT=$replacement python3 - "$file" <<'PY'
import os, sys
path = sys.argv[1]
source = open(path, encoding="utf-8").read()
text, replacement = (os.environ[name].replace(" or ", " || ") for name in ("TEXT", "REPLACEMENT"))
if text not in source:
    sys.exit(f"{path} does not contain: {text}")
open(path, "w", encoding="utf-8").write(source.replace(text, replacement, 1))
PY
    replace_status=$?
    if [ "$replace_status" = 0 ] && cmake --build build --target "${test_binaries[@]}" >build.log 2>&1; then
        if all_pass; then
            echo "survived: $name"
            failed=$((failed + 1))
        else
            echo "caught: $name"
            passed=$((passed + 1))
        fi
    else
        echo "not built: $name"
        tail -3 build.log
        failed=$((failed + 1))
    fi
    mv original "$file"
    touch "$file"
done <scripts/mutants.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
