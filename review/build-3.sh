#!/usr/bin/env bash
# Checks what the scripts of review/11 to review/15 start. Their stand-ins are plain modules in review/shared-3 and need no
# build; the programs are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in shared-3/*.mjs {11,12,13,14,15}/run.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
