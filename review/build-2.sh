#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they use the standard library
# alone, so there is nothing to build but a check that they can be read.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
