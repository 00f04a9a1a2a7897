#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig-3 ] && [ -x target/release/foxtaildrift-host ] || exit 2
exec target/review/rig-3 changed-weights review/15
