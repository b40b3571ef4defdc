#!/bin/bash
# Builds the stand-ins of the scripts into target/review. Run after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/standins
cp review/*.py target/review/standins/
python3 -m compileall -q target/review
