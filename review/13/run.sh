#!/bin/sh
# Case 13: an instance without paths to workers passes requests on to one that is behind.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the cuts.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/release/cactuslane ] || exit 2
exec target/review-3/standins helper "${RECORD:-$here}"
