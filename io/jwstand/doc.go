// Package jwstand provides small stand-ins for the platform, the targets and
// the links between regions. Tests, demonstrations and measurements use them.
// They implement only the parts of the protocols that nodes use.
//
// A StandIn serves one Program on a service port, and accepts faults on a control
// port:
//
//	GET /faults   returns the faults that are set
//	PUT /faults   sets the fields that the JSON body names, see Faults
//
// Each kind of program adds endpoints to the control port:
//
//	kv       GET /calls
//	hosts    GET, PUT /hosts; PATCH, DELETE /hosts/{address}
//	clients  GET, PUT /clients
//	runner   GET, DELETE /journal
//	service  GET, DELETE /journal
//
// Links relays TCP connections. Its control port has the endpoints
//
//	GET /links         returns the links with their conditions and the bytes passed
//	PUT /links         merges the JSON body into the conditions of all links, see Conditions
//	PUT /links/{name}  merges it into the conditions of one link
//
// The stand-ins use net/http, for two reasons. Keys of the key-value service
// contain slashes, which the router of go-zero's rest package does not accept.
// And a port must be able to close and open again while the process lives.
package jwstand
