#!/bin/sh
# Checks the model of the shares of a cold target, and that the seeded faults are caught.
set -eu

src=$(cd "$(dirname "$0")" && pwd)/cold.pml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"

# verify NAME FLAGS... explores every state and prints how many there are.
verify() {
	name=$1
	shift
	spin "$@" -a "$src" >/dev/null
	gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c
	./pan -m1000000 >"$name.out" || true
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$name.out")
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$name.out")
	echo "$name: $states states, $errors errors"
	if grep -q 'search not completed\|max search depth too small' "$name.out" && [ "$errors" = 0 ]; then
		echo "$name: search not completed" >&2
		exit 1
	fi
}

verify cold
[ "$errors" = 0 ] || { cat cold.out; exit 1; }

for fault in JOIN_AT_ONCE NO_WAIT; do
	verify "$fault" "-D$fault"
	[ "$errors" != 0 ] || { echo "the seeded fault $fault was not caught" >&2; exit 1; }
done
