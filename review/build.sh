#!/usr/bin/env bash
# Builds the stand-ins: they are plain Python, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/*.py [1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
