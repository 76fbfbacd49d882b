#!/bin/sh
# Case 13: crowds of clients take a process over the memory of its machine.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the crowds.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/release/cactuslane ] || exit 2
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -H -n)" 2>/dev/null
exec target/review-3/standins crowd "${RECORD:-$here}"
