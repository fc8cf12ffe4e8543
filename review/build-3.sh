#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15: Python files without dependencies,
# which are only compiled, so that an error shows here.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/stage_3.py
for case in 11 12 13 14 15; do
    [ ! -f "review/$case/case.py" ] || python3 -m py_compile "review/$case/case.py"
done
