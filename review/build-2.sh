#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: the project's own, and those of the review.
# They go to target/review-2, compiled, beside what the build of the deploy file leaves in target/deps.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2/tests/standins target/review-2/review
cp tests/__init__.py target/review-2/tests/
for part in __init__ line_connection line_instance object_store replicated_log; do
    cp "tests/standins/$part.py" target/review-2/tests/standins/
done
cp -r review/common_2 target/review-2/review/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
