#!/bin/bash
# Checks what the scripts of review/ need. The stand-ins are Python programs and
# use its standard library only, so that there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")
PYTHON
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import wire, platform_standin'
echo "review: built"
