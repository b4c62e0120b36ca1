#!/bin/sh
# The stand-ins need Python's standard library only; this checks that they
# compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile standins/*.py
