#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review
# Without the libraries of the build Python would end with 1 too.
python3 -c 'import harness' || exit 2
exec python3 "$case_folder/case.py"
