# Sourced by the scripts: the interpreter, and the sources of this tree first.
venv="${CARDAMOMNOTCH_VENV:-.venv}"
[ -x "$venv/bin/python" ] || script/setup
for source in packages/*/src platform/src; do
  PYTHONPATH="$PWD/$source${PYTHONPATH:+:$PYTHONPATH}"
done
export PYTHONPATH="$PWD:$PYTHONPATH"
