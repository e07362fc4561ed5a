#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. exec python3 review/10/case.py
