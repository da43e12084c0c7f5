#!/usr/bin/env bash
# Exits with 1 if the rule FLOW was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 lets no balancer stand still.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/egretdock ] && [ -x target/review/stand ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 110 target/review/stand -mode freeze -program target/egretdock -dir "$dir" -record "$here/record.txt" -trouble=$trouble -seed "${SEED:-1}"
rc=$?
case $rc in 0 | 1) exit $rc ;; *) exit 2 ;; esac
