#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the notice.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 119 python3 case.py
