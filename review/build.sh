#!/bin/sh
# Builds the stand-ins of the scripts: they need the standard library alone, so
# it only checks that each compiles, and that the deploy file's build was run.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 1; }
for file in review/standins.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
echo "the stand-ins are ready"
