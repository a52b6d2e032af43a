#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all source files that aren't generated, and prints the findings. clang-tidy skips a
# file that passed before if neither the file nor any header or setting has changed. Last line: "lint N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/tidy
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
passed=0
failed=0
for file in "${files[@]}"; do
    if clang-format --dry-run --Werror "$file"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
settings_hash=$(cat .clang-tidy CMakeLists.txt $(printf '%s\n' "${files[@]}" | grep '\.h$') | sha256sum | cut -c1-16)
# tidy FILE SETTINGS_HASH
tidy() {
    stamp=build/tidy/$2-$(sha256sum <"$1" | cut -c1-32)
    [ -e "$stamp" ] && return 0
    if clang-tidy --quiet -p build "$1" 2>/dev/null; then touch "$stamp"; else echo "clang-tidy: $1"; return 1; fi
}
export -f tidy
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep -E '^(packages/.*|platform)/src/.*\.cpp$')
findings=$(printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'tidy "$@"' _ {} "$settings_hash")
[ -n "$findings" ] && echo "$findings"
tidy_failed=$(grep -c '^clang-tidy: ' <<<"$findings")
echo "lint $((passed + ${#sources[@]} - tidy_failed)) passed, $((failed + tidy_failed)) failed"
[ $((failed + tidy_failed)) -eq 0 ]
