#!/bin/sh
# Checks that every stand-in of the scripts can be loaded with the libraries of the deploy file. They
# are Python sources and need no further build; `sh deploy/build.sh` has to run first.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c '
import harness
import standins.platform_store
import balsamrail.entry.serve
'
for script in review/[1-5]/case.py; do
    if [ -e "$script" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
    fi
done
