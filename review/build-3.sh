#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: the project's own and those beside the scripts.
# They need the packages of the deploy file's build, and nothing else.
cd "$(dirname "$0")/.." || exit 2
for part in tests/standins review/common_3; do
    python3 -m compileall -q "$part" || exit 2
done
PYTHONPATH="target/deps:." exec python3 -c "
from review.common_3 import bed
from tests.standins import line_connection, line_instance, object_store, replicated_log
"
