#!/bin/sh
# Builds dist/daisygw, a single-file zipapp that contains its dependencies.
set -eu
bin="$1"
mkdir -p dist
"$bin/shiv" --quiet --compressed --reproducible --console-script daisygw \
    --output-file dist/daisygw . --constraint constraints.txt \
    --disable-pip-version-check --quiet
ls -l dist/daisygw
