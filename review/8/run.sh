#!/usr/bin/env bash
# Plays case 8 for about 30 seconds and writes record.txt beside this file. Exits with 0 if the rule held, 1 if it was broken, and 2
# if the case could not run. TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
if ! [ -x bin/chalkferry ] || ! [ -x bin/review-standin2 ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec bin/review-standin2 silence "$folder"
