#!/bin/sh
# Builds the stand-ins of the scripts: they are Python modules that need the standard library alone.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py [1-5]/*.py
