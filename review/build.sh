#!/bin/sh
# The scripts start the release binary (built by the deploy file) and the stand-ins of lib/standin.py,
# which need only python3's standard library: nothing has to be compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast; ast.parse(open("lib/standin.py").read())'
for script in [0-9]/case.py; do
    [ -e "$script" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
