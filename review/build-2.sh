#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of review/6 to review/10 start. They need only
# what the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review/stand_ins_2:."
python3 -m compileall -q --invalidation-mode checked-hash \
  review/stand_ins_2 tests/__init__.py tests/stand_ins
python3 -c "import harness, tests.stand_ins.platform_upstream"
