#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: all are in review/lab2, in Python,
# and use the run requirements that the build of the deploy file installs.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib, sys
for path in pathlib.Path("review/lab2").glob("*.py"):
    compile(path.read_text(), str(path), "exec")
'
