#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. See claim.txt.
exec "$(dirname "$0")/../rig/run_case.sh" "$(dirname "$0")" short_stop
