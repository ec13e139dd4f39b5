#!/bin/sh
# Builds the stand-ins of cases 6 to 10: Python sources, which only have to
# compile and to find the libraries of the deploy file's `build` line.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q standins review/trial.py review/[6-9] review/10 || exit 1
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c "import review.trial"
