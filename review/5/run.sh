#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run. TROUBLE=0 leaves the disruption out.
exec node "$(dirname "$0")/run.mjs"
