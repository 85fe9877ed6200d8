#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they need Python 3.11 and its standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness-2
