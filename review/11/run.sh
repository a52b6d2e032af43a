#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the burst.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jujubespoold ] || { echo "target/jujubespoold is missing"; exit 2; }
exec timeout -k 2 115 python3 review/11/case.py
