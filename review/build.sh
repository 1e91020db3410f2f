#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need only the interpreter's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q --invalidation-mode checked-hash stand_ins [1-5]/*.py
