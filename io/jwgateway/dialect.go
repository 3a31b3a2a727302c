package jwgateway

import (
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
)

// Call is what a caller says of its request in the headers.
type Call struct {
	ID        string
	Deadline  time.Duration // 0 if not said
	LastEvent string        // the event after which a stream goes on
	Key       string        // of the caller's workspace, "" if there is none
	Prompt    jwinstance.Prompt
}

// Send is what a target receives with a request.
type Send struct {
	Target    string // the incarnation that may run it
	Left      time.Duration
	Engine    bool
	Priority  int
	LastEvent string
	Workspace string         // of the caller, "" if that has none
	Fetch     netip.AddrPort // a target that holds parts of the prompt, if valid
}

// Reply is what an answer says in its headers.
type Reply struct {
	ID         string        // of the request that it answers
	NotRun     bool          // the target has not run the request and will not
	Signed     bool          // a target made it
	Target     string        // that answered, if it says so
	Cold       time.Duration // how long the target stays cold
	Limit      jwinstance.Limit
	RetryAfter time.Duration // for how long the target wants nothing of this node, where it turned a request away
	Leaving    bool          // the target leaves, whatever its registration says
}

// Dialect translates the headers of callers and targets.
type Dialect interface {
	Call(h http.Header) Call
	// Strip removes what only the gateway may set for a target.
	Strip(h http.Header)
	// StripKey removes the key of a caller.
	StripKey(h http.Header)
	// Send adds what the target receives.
	Send(h http.Header, s Send)
	// Left replaces the time left.
	Left(h http.Header, left time.Duration)
	Answer(h http.Header) Reply
	// ID returns the identifier of the request that an answer belongs to.
	ID(h http.Header) string
	// Refuse adds to a refusal which request it answers.
	Refuse(h http.Header, id string)
	// Question returns the host that a caller asks the directory about, and
	// the caller's region.
	Question(q url.Values) (host, region string)
	// Directory returns the answer of the directory, to be encoded as JSON.
	Directory(nodes []netip.AddrPort, ttl time.Duration) any
}

// Records decodes what operators and targets write to the store.
type Records interface {
	IsConfig(key string) bool
	Config(value []byte) (*jwentry.Config, error)
	Evacuation(key string) (dataCentre string, ok bool)
	TargetID(key string) (string, bool)
	Target(id string, value []byte) (jwinstance.Instance, error)
}
