#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs (3.11, the
# standard library alone), so that nothing is compiled; this checks that they
# can be run.
set -eu
cd "$(dirname "$0")/common-2"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sorted(pathlib.Path(".").glob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
