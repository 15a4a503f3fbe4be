#!/bin/sh
# The stand-ins of the cases are plain modules under review/lib without dependencies: nothing has to be compiled. This
# checks that they and the scripts can be loaded, and that the build of deploy/system.toml has left the programs.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
test -s target/entry.cjs
test -s target/agent.cjs
