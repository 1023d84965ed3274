#!/usr/bin/env bash
# The stand-ins are Python without further packages, so there is nothing to compile; this checks that
# they can be read by the Python of this machine (3.10 or later) and that the members are built.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib, sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
P
test -x ../target/release/dogwoodreach-platform || { echo "build the deploy file first"; exit 1; }
