// Package jwstand holds small stand-ins for the platform, the targets and the
// links between regions, for tests, demonstrations and measurements. They are
// tools: they speak the protocols that nodes use and no more.
//
// A Stand serves one Program on a loopback port and takes faults on a control
// port:
//
//	GET /faults   the faults that are set
//	PUT /faults   sets the fields that the JSON body names, see Faults
//
// and what the program adds there:
//
//	kv       GET /calls
//	hosts    GET, PUT /hosts; PATCH /hosts/{address}
//	clients  GET, PUT /clients
//	runner   GET, DELETE /journal
//	service  GET, DELETE /journal
//
// Links relays TCP connections; its control port takes
//
//	GET /links         the links with their weather and the bytes passed
//	PUT /links         merges the JSON body into the weather of all, see Weather
//	PUT /links/{name}  the same for one link
//
// The HTTP here is net/http: keys of the key-value service hold slashes, which
// the router of go-zero's rest does not take, and a port must be able to close
// and open again while the process lives.
package jwstand
