#!/bin/sh
# Builds what the scripts of cases 4 to 8 start. The stand-ins are Python programs (standard library only),
# so nothing is compiled; this checks that Python can read them. Needs python3 (3.9 or later).
cd "$(dirname "$0")" && for f in bed.py [4-8]/case.py; do
  [ -e "$f" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f" || exit 1
done
