#!/usr/bin/env bash
# Configures the project and builds all targets in build/. Prints the build log if the build fails.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e build/build.ninja ] || cmake --preset default >/dev/null
cmake --build build >build/build.log 2>&1 || { cat build/build.log >&2; exit 1; }
