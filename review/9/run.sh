#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
export PYTHONPATH="target/deps:review/stand_ins_2:." PYTHONDONTWRITEBYTECODE=1
python3 review/9/case.py
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
