# Sourced by the other scripts: finds the virtual environment and puts the sources
# of this tree first on PYTHONPATH.
venv="${CARDAMOMNOTCH_VENV:-.venv}"
[ -x "$venv/bin/python" ] || script/setup
for source in packages/*/src platform/src; do
  PYTHONPATH="$PWD/$source${PYTHONPATH:+:$PYTHONPATH}"
done
export PYTHONPATH="$PWD:$PYTHONPATH"
