#!/bin/sh
# Builds the one binary: a single-file zipapp with its dependencies.
set -eu
bin="$1"
mkdir -p dist
"$bin/shiv" --quiet --compressed --reproducible --console-script daisygw \
    --output-file dist/daisygw . --constraint constraints.txt \
    --disable-pip-version-check --quiet
ls -l dist/daisygw
