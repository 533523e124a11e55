#!/bin/sh
# All daemons end by themselves, again and again, after an engine was lost beside an entry of another writer.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# First the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pearlanding ] && [ -x target/review-2/rig2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/rig2 foreign-entry target/pearlanding review/6/record.txt
