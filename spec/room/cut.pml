/* The same nodes while no report reaches node 0. */
#define CUT
#include "room.pml"
