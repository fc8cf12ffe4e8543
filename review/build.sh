#!/bin/sh
# Checks that the stand-ins and the cases compile; there is nothing else to build. Nothing is written:
# a folder of compiled files here would be taken for a case.
set -e
cd "$(dirname "$0")"
for file in */*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
