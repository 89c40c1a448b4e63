#!/bin/sh
# Checks the stand-ins of the third review. They are plain Python of the standard
# library, so there is nothing to compile or to install.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(pathlib.Path("review").glob("rig3/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
EOF
