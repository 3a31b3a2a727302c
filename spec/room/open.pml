/* The same nodes with a target that is not divided while it is little used. The room is smaller, as
 * there are more states. */
#define R 3
#define OPEN 2
#include "room.pml"
