#!/bin/sh
# Exits with 1 if a promoted instance lacks an acknowledged commit, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:target/review-2" exec python3 review/6/run.py
