#!/bin/sh
# Checks the model of the parts of a target's room, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/room.pml" GREEDY NO_RESERVE
