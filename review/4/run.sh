#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec python3 review/4/case.py
