#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; after the
# build of the deploy file and review/build.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/lagoon-entry ] && [ -x target/review-rig ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
REVIEW_FOLDER=$folder target/review-rig two-coordinators review/3/record.txt
