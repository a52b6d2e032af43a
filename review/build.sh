#!/usr/bin/env bash
# Checks that all stand-ins of the cases are there and can be loaded. They are Python programs, so nothing is compiled. The managers come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PY
