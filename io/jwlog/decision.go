package jwlog

import (
	"io"
	"math"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Decision is one log line about a request: what was decided, from which inputs,
// and the outcome. Empty fields are left out.
type Decision struct {
	Step          string        // what was decided, such as "send" or "answer"
	Request       string        // the caller's identifier of the request
	Entry         string        // name of the catalogue entry
	Kind          string        // kind of the entry by which it was decided what may run more than once
	Sender        string        // node that forwarded the request to this one
	Version       uint64        // of the configuration that applies to the request
	Workspace     string        // workspace of the caller
	Service       string        // service that runs the request
	Target        string        // incarnation of the target
	OriginVersion string        // version that a stream must go on at
	TargetVersion string        // of the target's software
	LastEvent     string        // event after which a stream is continued
	Origin        string        // how the version that began that stream was learned
	FirstRequest  string        // request that began the stream that is continued
	Peer          string        // the other node
	Outcome       string        // such as "finished" or "notRun"
	Reason        string        // why the outcome is no success
	Status        int           // HTTP status of the answer
	Framing       string        // what ends the answer's body, such as "chunks"
	Partial       int           // bytes after the last complete event of a stream that has ended
	BodyError     string        // why the request's body was not sent completely
	Conn          uint64        // connection that brought the answer, counted among those to all targets or to all nodes
	ConnCalls     int           // requests that it has carried
	Attempt       int           // counted from 1
	Sends         int           // sends that reached a target so far
	Retry         *Retry        // set if the request was not served
	Left          time.Duration // until the deadline
	Took          time.Duration // since the request arrived
	Expected      time.Duration // estimated wait for the first event
	First         time.Duration // actual wait for the first event
	Pause         time.Duration // longest time between two events
	Silent        time.Duration // since the last event, for a send that broke off
	Error         time.Duration // mean absolute error of such estimates
	Load          string        // band of the target's load, such as "queued"
	Rest          time.Duration // estimated time from the first event to the end
	Priority      int           // 0 is the most urgent
	Calls         int           // in flight from this node at the target
	Prompt        int           // tokens of the prompt
	MissTokens    int           // of these, tokens that the target probably has not cached
	AheadTokens   int           // prompt tokens that the target has to read first
	ViewAge       time.Duration // since the target's registration was last read
	StoreAge      time.Duration // since the store was read, by this node or by a relay for it
	StoreRevision int64         // the store's own number up to which it was read
	LoadAge       time.Duration // age of the target's last load report
	Waited        time.Duration // in the waiting room
	Waiting       int           // requests that went before it in the waiting room
	Units         float64       // of the workspace's quota that the request takes
	Level         float64       // quota units that the node had
	Region        string        // the region that the request was forwarded to by its share
	PartSent      float64       // part of such requests that goes to that region
	ShareAge      time.Duration // age of that region's load when the share was used
	Held          int64         // bytes that the node holds for requests
	Budget        int64         // bytes that it may hold
	Buffered      int64         // bytes held for the request
	Stalled       time.Duration // since the caller last read
	Cold          bool          // the target is cold
	ColdPart      *ColdPart     // set if the target is cold
	ToWrite       time.Duration // from the choice of the target to the writing of the request
	Share         *Share        // set if the request was rejected for its share
	Fingerprint   string        // by which the request is recognized when it is sent again
	Caller        string        // the caller's address
	Parts         string        // identifiers of the parts of the prompt that other requests may share
	DropFirst     bool          // the line is written to minor, as for served requests
}

// ColdPart is this node's part of what a cold target may get, as it was when the target was chosen.
type ColdPart struct {
	Rate  float64       // requests a second that this node may send there
	Sends int           // by this node within the last second, with this one
	Nodes int           // that share the limit
	Left  time.Duration // until the target is warm
}

// Share says on what a rejection for a share rests. Work is in thousandths of a target.
type Share struct {
	Region  string
	Level   int           // of urgency, 0 is the most urgent
	Asked   int64         // by the workspace at that level
	Granted int64         // to it
	Total   int64         // asked by all
	Room    int64         // what the targets can run
	Waiting int64         // admitted work that waits
	Age     time.Duration // of the oldest report of demand
}

// Retry says why a request was sent, or why it was not sent again, and what this node's part of the
// retry budget of the service was then.
type Retry struct {
	Reason   string
	Left     float64 // retries left to this node
	Requests int     // that this node counted in the window
	Retries  int     // that this node made in the window
	Nodes    int     // that share the budget
}

// Decisions writes each Decision as a JSON line; the zero value drops them.
type Decisions struct {
	major, minor *zap.Logger
}

// NewDecisions returns the log of decisions of a node. Lines with DropFirst set, such
// as those of served requests, are written to minor, all others to major.
func NewDecisions(major, minor io.Writer, node string) *Decisions {
	return &Decisions{major: decisionLog(major, node), minor: decisionLog(minor, node)}
}

func decisionLog(w io.Writer, node string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(w), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("node", node))
}

// Write writes one line.
func (d *Decisions) Write(x *Decision) {
	if d == nil || d.major == nil {
		return
	}
	log := d.major
	if x.DropFirst {
		log = d.minor
	}
	const maxFields = 72
	var buf [maxFields]zap.Field
	f := buf[:0]
	f = appendText(f, "request", x.Request)
	f = appendText(f, "entry", x.Entry)
	f = appendText(f, "kind", x.Kind)
	f = appendText(f, "sender", x.Sender)
	f = appendText(f, "workspace", x.Workspace)
	f = appendText(f, "service", x.Service)
	f = appendText(f, "target", x.Target)
	f = appendText(f, "targetVersion", x.TargetVersion)
	f = appendText(f, "peer", x.Peer)
	f = appendText(f, "lastEvent", x.LastEvent)
	f = appendText(f, "firstRequest", x.FirstRequest)
	f = appendText(f, "origin", x.Origin)
	f = appendText(f, "originVersion", x.OriginVersion)
	f = appendText(f, "outcome", x.Outcome)
	f = appendText(f, "reason", x.Reason)
	f = appendText(f, "fingerprint", x.Fingerprint)
	f = appendText(f, "caller", x.Caller)
	f = appendText(f, "parts", x.Parts)
	f = appendNumber(f, "version", int64(x.Version))
	f = appendNumber(f, "status", int64(x.Status))
	f = appendText(f, "framing", x.Framing)
	f = appendNumber(f, "partialBytes", int64(x.Partial))
	f = appendText(f, "bodyError", x.BodyError)
	f = appendNumber(f, "conn", int64(x.Conn))
	f = appendNumber(f, "connCalls", int64(x.ConnCalls))
	f = appendNumber(f, "attempt", int64(x.Attempt))
	f = appendNumber(f, "sends", int64(x.Sends))
	if r := x.Retry; r != nil {
		f = append(f, zap.String("retry", r.Reason), zap.Float64("retriesLeft", math.Round(10*r.Left)/10),
			zap.Int("windowRequests", r.Requests), zap.Int("windowRetries", r.Retries), zap.Int("budgetNodes", r.Nodes))
	}
	f = appendNumber(f, "leftMs", x.Left.Milliseconds())
	f = appendNumber(f, "tookMs", x.Took.Milliseconds())
	f = appendNumber(f, "expectedMs", x.Expected.Milliseconds())
	f = appendNumber(f, "firstMs", x.First.Milliseconds())
	f = appendNumber(f, "pauseMs", x.Pause.Milliseconds())
	f = appendNumber(f, "silentMs", x.Silent.Milliseconds())
	f = appendNumber(f, "errorMs", x.Error.Milliseconds())
	f = appendText(f, "load", x.Load)
	f = appendNumber(f, "restMs", x.Rest.Milliseconds())
	f = appendNumber(f, "priority", int64(x.Priority))
	f = appendNumber(f, "calls", int64(x.Calls))
	f = appendNumber(f, "promptTokens", int64(x.Prompt))
	f = appendNumber(f, "missTokens", int64(x.MissTokens))
	f = appendNumber(f, "aheadTokens", int64(x.AheadTokens))
	f = appendNumber(f, "units", int64(x.Units))
	f = appendNumber(f, "levelUnits", int64(x.Level))
	f = appendNumber(f, "viewAgeMs", x.ViewAge.Milliseconds())
	f = appendNumber(f, "storeAgeMs", x.StoreAge.Milliseconds())
	f = appendNumber(f, "storeRevision", x.StoreRevision)
	f = appendNumber(f, "loadAgeMs", x.LoadAge.Milliseconds())
	f = appendText(f, "region", x.Region)
	f = appendNumber(f, "sharePercent", int64(math.Round(100*x.PartSent)))
	f = appendNumber(f, "shareAgeMs", x.ShareAge.Milliseconds())
	f = appendNumber(f, "waitedMs", x.Waited.Milliseconds())
	f = appendNumber(f, "waiting", int64(x.Waiting))
	f = appendNumber(f, "heldBytes", x.Held)
	f = appendNumber(f, "budgetBytes", x.Budget)
	f = appendNumber(f, "bufferedBytes", x.Buffered)
	f = appendNumber(f, "stalledMs", x.Stalled.Milliseconds())
	f = appendNumber(f, "toWriteMs", x.ToWrite.Milliseconds())
	if x.Cold {
		f = append(f, zap.Bool("cold", true))
	}
	if c := x.ColdPart; c != nil {
		f = append(f, zap.Float64("coldRate", math.Round(10*c.Rate)/10), zap.Int("coldSends", c.Sends),
			zap.Int("coldNodes", c.Nodes), zap.Int64("coldLeftMs", c.Left.Milliseconds()))
	}
	if s := x.Share; s != nil {
		f = append(f, zap.String("region", s.Region), zap.Int("urgency", s.Level), zap.Int64("asked", s.Asked), zap.Int64("granted", s.Granted),
			zap.Int64("totalAsked", s.Total), zap.Int64("room", s.Room), zap.Int64("waitingWork", s.Waiting), zap.Int64("shareAgeMs", s.Age.Milliseconds()))
	}
	log.Info(x.Step, f...)
}

func appendText(f []zap.Field, key, value string) []zap.Field {
	if value == "" {
		return f
	}
	return append(f, zap.String(key, value))
}

func appendNumber(f []zap.Field, key string, value int64) []zap.Field {
	if value == 0 {
		return f
	}
	return append(f, zap.Int64(key, value))
}
