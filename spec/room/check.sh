#!/bin/sh
# Checks the model of the parts of a target's room, and that the seeded faults are caught.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
DEPTH=5000000 "$here/../verify.sh" "$here/room.pml" GREEDY ANY_TIME KEEPS_ENDED
"$here/../verify.sh" "$here/cut.pml" NO_RESERVE
DEPTH=5000000 "$here/../verify.sh" "$here/open.pml"
