#!/bin/sh
# Checks that the stand-ins of the scripts in review/4 to review/8 can be compiled. They are plain
# Python without dependencies, so that nothing has to be built.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [4-8]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
