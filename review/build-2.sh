#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start. Their stand-ins are plain modules in review/shared-2 and need no
# build; the programs are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared-2/*.mjs {6,7,8,9,10}/run.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
