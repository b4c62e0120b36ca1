#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain Python, without dependencies:
# checks that this Python compiles them. Nothing is written.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/*.py lib-3/*.py $(ls -d [6-9]/case.py 10/case.py quota-*/case.py 2>/dev/null) <<'EOF'
import sys

assert sys.version_info >= (3, 11), sys.version
for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
EOF
