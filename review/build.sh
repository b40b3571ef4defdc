#!/bin/bash
# Compiles the stand-ins of the scripts. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/*/play.py
