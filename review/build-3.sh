#!/usr/bin/env bash
# The stand-ins of this review are Python programs and need no build. This checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path("standins-3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
