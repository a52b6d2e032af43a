#!/usr/bin/env bash
# Runs the regression seeds of the soak test: manager processes that use the job stand-in, with injected faults.
set -uo pipefail
python3 "$(dirname "$0")/../soak.py" --regressions --seconds 8 || exit 1
echo "0 problems"
