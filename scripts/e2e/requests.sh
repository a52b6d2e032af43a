#!/usr/bin/env bash
# Sends malformed, oversized and smuggled requests to a real entry host.
set -uo pipefail
source "$(dirname "$0")/../fleet.sh"
start_fleet marktpass entry-1:lausanne || exit 1
python3 "$scripts/e2e/requests.py" "${caller_of[entry-1]}" || exit 1
kill -0 "${pid_of[entry-1]}" || { echo "the entry host has crashed"; exit 1; }
