#!/usr/bin/env bash
# A zone is cut off, and one of its nine runners crashes and is back under its id 0.2 s later. Takes 36 s.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0: without the disruption.
set -m
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/case-standin ] || [ ! -x target/release/goldcreststall-node ]; then
    echo "run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
TMPDIR=$temporary target/review-3/case-standin late-life review/12 &
case=$!
# The entry hosts are in the process group of the stand-in. KEEP=1 leaves their logs.
finish() {
    kill -KILL -- "-$case" 2>/dev/null
    [ -n "${KEEP:-}" ] || rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
wait "$case"
exit $?
