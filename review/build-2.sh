#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start. Their stand-ins are Python programs that need the standard library alone,
# so nothing is compiled: this checks the interpreter, the sources and the program that the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(glob.glob("standins-2/*.py") + glob.glob("[6-9]/run.py") + glob.glob("10/run.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
EOF
test -x ../target/jujubespoold || { echo "target/jujubespoold is missing: run the build of deploy/system.toml" >&2; exit 1; }
echo "review/build-2.sh: ready"
