#!/usr/bin/env bash
# Configures and builds everything into build/. Prints only what goes wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e build/build.ninja ] || cmake --preset default >/dev/null
cmake --build build >build/build.log 2>&1 || { cat build/build.log >&2; exit 1; }
