#!/usr/bin/env bash
# Builds the stand-ins: the project's simulated services (src/gladecroft/lab) and the scripts here. Needs the build of
# the deploy file; installs nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q --invalidation-mode checked-hash src/gladecroft/lab review/common
for case in review/[0-9]*/; do
    python3 -m compileall -q --invalidation-mode checked-hash "$case"
done
