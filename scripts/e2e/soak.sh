#!/usr/bin/env bash
# Plays the soak's regression seeds: manager processes under faults from outside, against the jobs stand-in.
set -uo pipefail
python3 "$(dirname "$0")/../soak.py" --regressions --seconds 8 || exit 1
echo "0 problems"
