#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/platform ] || [ ! -x target/review-2 ]; then
	echo "build the deploy file's program and run review/build-2.sh first"
	exit 2
fi
exec target/review-2 all-killed review/9/record.txt
