#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
case "$0" in */*) here=$(cd "${0%/*}" && pwd) ;; *) here=$(pwd) ;; esac
cd "$here/../.." || exit 2
[ -x target/review-2/rig ] || exit 2
exec target/review-2/rig leaving "$here"
