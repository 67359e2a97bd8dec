#!/usr/bin/env bash
# Stand-ins of the cases 6 to 10: review/rig-2, in Python with its standard library only,
# so that nothing is installed. Checks that they can run; writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later"
for path in sorted([*pathlib.Path("rig-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ready:", path)
PY
