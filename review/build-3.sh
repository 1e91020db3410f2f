#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: it compiles them to byte code. They need
# what deploy/build installs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q --invalidation-mode checked-hash \
    review/stand_ins_3 tests/stand_ins tests/__init__.py
