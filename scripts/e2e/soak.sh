#!/usr/bin/env bash
# Runs the regression seeds of the soak test, and one with the faults of the platform: manager processes that use the job stand-in, with
# injected faults.
set -uo pipefail
python3 "$(dirname "$0")/../soak.py" --regressions --seconds 8 || exit 1
python3 "$(dirname "$0")/../soak.py" --profile platform --seed 104 --seconds 8 || exit 1
python3 "$(dirname "$0")/../soak.py" --profile evacuation --seed 1 --seconds 10 || exit 1
echo "0 problems"
