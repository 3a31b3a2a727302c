package jwboard

import (
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
)

// Board holds the tables of one node. Their fields must be set before use, and a
// Board must not be copied.
type Board struct {
	Catalogue jwcatalogue.Table
	Directory jwdirectory.Table
	Hosts     jwhost.Table
	Peers     jwpeer.Table
	Targets   jwtarget.Table
	Regions   jwrouter.Regions
	Limiter   jwlimit.Limiter
	Budget    jwlimit.Budget
	Suspects  jwsuspect.Table
}
