#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python of the standard library; nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q --invalidation-mode checked-hash review/common-2
