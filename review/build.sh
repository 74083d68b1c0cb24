#!/bin/sh
# Compiles the stand-ins of the cases, which need nothing but python3 itself.
# The programs under test come from the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
