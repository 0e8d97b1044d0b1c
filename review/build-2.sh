#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/6 start. They are Python programs of the standard library alone
# (review/lib-2), so there is nothing to compile: checks that the interpreter fits and that the files can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }
for file in lib-2/*.py [456]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
