#!/usr/bin/env bash
# Builds what the scripts start beside the project's own programs. The stand-ins are
# Python with the standard library only, so there is nothing to fetch; the project's own
# stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness review/[0-9]*
