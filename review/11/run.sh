#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lagoon-entry ] && [ -x target/review-3/rig ] || exit 2
disruption=with
if [ "$TROUBLE" = 0 ]; then
	disruption=without
fi
timeout -k 1 115 target/review-3/rig passed review/11 "$disruption"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
