#!/bin/sh
# Builds every stand-in that the scripts start. They are Python sources that use the standard
# library alone, so that building them is compiling them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py
for case in [0-9]/case.py; do
    [ ! -e "$case" ] || python3 -m py_compile "$case"
done
