#!/bin/sh
# Checks the models of the log and of acceptance: they must hold as they are,
# and a fault must be found in each variant that takes one protection away.
# Usage: check.sh [CHANGES], 1 by default. Needs spin and cc.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
changes=${1:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# run MODEL VARIANT prints the counts and sets $errors.
run() {
	spin -a "-D$2" "-DCHANGES=$changes" "$here/$1.pml"
	cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -w -o pan pan.c
	./pan -m200000 >out 2>&1 || true
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' out)
	if [ -z "$errors" ] || grep -q 'depth too small\|reached -DMEMLIM\|out of memory' out; then
		echo "$1 $2: the search was not whole" >&2
		cat out >&2
		exit 1
	fi
	echo "$1 $2: $states states, $errors errors"
}

holds() {
	run "$1" WHOLE
	if [ "$errors" != 0 ]; then
		cat out >&2
		exit 1
	fi
}

fails() {
	run "$1" "$2"
	if [ "$errors" = 0 ]; then
		echo "$1 $2: the fault was not found" >&2
		exit 1
	fi
}

holds log
fails log NO_EDIT_ID
holds acceptance
for variant in HEAD_FIRST MEMBERS_FIRST SPONSOR_FORGETS EARLY_RELEASE SILENCE; do
	fails acceptance "$variant"
done
