#!/bin/sh
# Exits with 1 if a write is kept that its client was promised not to be, 0 if none is, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:target/review-2" exec python3 review/9/run.py
