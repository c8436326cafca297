#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mustardmast ] || [ ! -x review/bin/standin ]; then
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
fi
exec review/bin/standin crashing-request review/5/record.txt
