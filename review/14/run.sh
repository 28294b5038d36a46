#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-3.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in "$root/target/balsamvale" "$root/target/review-3/rig"; do
	if [ ! -x "$program" ]; then
		echo "$program is missing" >&2
		exit 2
	fi
done
exec "$root/target/review-3/rig" weights "$root/target/balsamvale" "$here/record.txt"
