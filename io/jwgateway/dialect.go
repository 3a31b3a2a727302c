package jwgateway

import (
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
)

// CallerHeaders is what a caller's headers say about its request.
type CallerHeaders struct {
	ID           string        // identifier of the request
	Deadline     time.Duration // time left until the caller gives up; 0 if not given
	LastEvent    string        // identifier of the event after which to resume a stream
	FirstRequest string        // identifier of the request that brought the first event of that stream; "" if not given
	Key          string        // key of the caller's workspace; "" if none was given
	Prompt       jwinstance.Prompt
}

// TargetHeaders is what the gateway adds to the headers of a request to a target.
type TargetHeaders struct {
	Target    string         // the incarnation of the target that may run the request
	Left      time.Duration  // time left until the request's deadline
	Engine    bool           // the target is a model engine
	Priority  int            // 0 is the most urgent
	LastEvent string         // identifier of the event after which to resume a stream
	Workspace string         // workspace of the caller; "" if it has none
	Fetch     netip.AddrPort // target to fetch cached parts of the prompt from, if valid
}

// AnswerHeaders is what the headers of an answer say.
type AnswerHeaders struct {
	ID         string           // identifier of the request that is answered
	NotRun     bool             // the target has not run the request and will not
	Signed     bool             // the answer carries a target's signature
	Target     string           // identifier of the target that answered, if given
	ColdFor    time.Duration    // for how long the target stays cold
	Limit      jwinstance.Limit // limit that the target announces
	RetryAfter time.Duration    // for how long the target accepts no requests from this node, if it refused one
	Leaving    bool             // the target is leaving, whatever its registration says

	Load          jwinstance.LoadReport // load that the target reports
	LoadMalformed bool                  // the target reports a load that can't be read
}

// Dialect translates the headers of callers and targets between the platform's names and this
// package's types.
type Dialect interface {
	// ParseCallerHeaders returns what the headers of a caller's request say.
	ParseCallerHeaders(h http.Header) CallerHeaders
	// Strip removes the headers that only the gateway may set for a target.
	Strip(h http.Header)
	// StripKey removes the caller's key.
	StripKey(h http.Header)
	// SetTargetHeaders adds the headers for the target.
	SetTargetHeaders(h http.Header, s TargetHeaders)
	// SetTimeLeft sets the time left until the request's deadline.
	SetTimeLeft(h http.Header, left time.Duration)
	// ParseAnswerHeaders returns what the headers of an answer say.
	ParseAnswerHeaders(h http.Header) AnswerHeaders
	// ID returns the identifier of the request that an answer belongs to.
	ID(h http.Header) string
	// Refuse adds the identifier of the request to the headers of an error answer.
	Refuse(h http.Header, id string)
	// DirectoryQuery returns the host that a caller queries the directory for, and the caller's
	// region.
	DirectoryQuery(q url.Values) (host, region string)
	// Directory returns the answer of the directory, which is encoded as JSON.
	Directory(nodes []netip.AddrPort, ttl time.Duration) any
}

// EventDialect is a Dialect whose targets send a further field in events.
type EventDialect interface {
	// EventField returns the name of the field that may come first in an event, with a number.
	EventField() string
}

// RecordDecoder decodes the store's keys and values that operators and targets write.
type RecordDecoder interface {
	// IsConfig reports whether the configuration is stored under a key.
	IsConfig(key string) bool
	// Config decodes a configuration.
	Config(value []byte) (*jwentry.Config, error)
	// Evacuation returns the data centre whose evacuation a key stands for; ok is false for any
	// other key.
	Evacuation(key string) (dataCentre string, ok bool)
	// TargetID returns the identifier of the target that registers under a key; false for any other
	// key.
	TargetID(key string) (string, bool)
	// Target decodes the registration of a target.
	Target(id string, value []byte) (jwinstance.Instance, error)
}
