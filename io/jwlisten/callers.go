package jwlisten

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwrest"
)

// maxHostListAge is how long a caller may use a list of hosts before it has to
// request it again.
const maxHostListAge = 5 * time.Second

// bodyTimeout limits the time in which a caller sends the body of a request, so
// that slow callers don't occupy memory without limit.
const bodyTimeout = 15 * time.Second

// Dispatcher checks and serves requests.
type Dispatcher interface {
	// Check returns a refusal for a request that can't be served. It is called
	// before the body is read.
	Check(r *jwrequest.Request) (refusal jwdispatch.AnswerHead, refused bool)
	// MaxBody returns the maximum length of a request's body in bytes.
	MaxBody(entry string) int64
	// Serve runs a request and writes its answer to sink.
	Serve(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink)
	// CheckTicket returns a refusal if this node mints no ticket for a workspace.
	CheckTicket(workspace string) (refusal jwdispatch.AnswerHead, refused bool)
	// Hosts returns the addresses that callers of a workspace should use.
	Hosts(workspace string) []netip.AddrPort
}

// Gate counts the requests in flight and admits none once the node is stopping.
type Gate interface {
	// Enter admits a request, and done ends it; ok is false once the node
	// admits no more.
	Enter() (done func(), ok bool)
}

// Tickets mints idempotency keys.
type Tickets interface {
	// Mint returns a new key, or an error if this node mints none now.
	Mint() (string, error)
}

// Counter counts requests that this package rejects. The dispatcher counts those
// that it rejects or serves.
type Counter interface {
	// RecordEnd counts one request. The entry is empty if its name has not been
	// checked.
	RecordEnd(entry string, outcome jwrequest.Outcome, reason jwdispatch.Reason)
}

// Callers handles the HTTP requests of callers. Its fields are set before Handler.
type Callers struct {
	Dispatcher Dispatcher
	Gate       Gate
	Tickets    Tickets
	MaxHeader  int               // max bytes of a request's header, 0 for no limit besides the server's
	Ready      func() bool       // whether the node serves requests
	Counter    Counter           // may be nil
	Tracer     jwdispatch.Tracer // may be nil
	Log        logr.Logger
}

const hostsPath = "/v1/hosts"

// Handler returns the handler of the callers' listener.
func (c *Callers) Handler() (http.Handler, error) {
	return jwrest.Handler(c.Log, []rest.Route{
		{Method: http.MethodGet, Path: hostsPath, Handler: c.hosts},
		{Method: http.MethodPost, Path: "/v1/tickets", Handler: c.ticket},
		{Method: http.MethodPost, Path: "/v1/requests/:entry", Handler: c.request},
	}, jwrest.UnmatchedHandlers{NotFound: http.HandlerFunc(notFound), NotAllowed: http.HandlerFunc(notAllowed)})
}

// hostList is the body of the answer to a request for the hosts to use.
type hostList struct {
	Hosts       []netip.AddrPort `json:"hosts"`
	TrustMillis int64            `json:"trustMillis"`
}

func (c *Callers) hosts(w http.ResponseWriter, r *http.Request) {
	workspace := r.URL.Query().Get("workspace")
	list := hostList{Hosts: c.Dispatcher.Hosts(workspace), TrustMillis: maxHostListAge.Milliseconds()}
	writeJSON(w, http.StatusOK, list)
}

type ticketAnswer struct {
	Key string `json:"key"`
}

func (c *Callers) ticket(w http.ResponseWriter, r *http.Request) {
	workspace := r.Header.Get(headerWorkspace)
	if len(r.Header.Values(headerWorkspace)) > 1 || !isShortPrintable(workspace, maxNameLength) {
		c.rejectUnchecked(w, badHeader(headerWorkspace))
		return
	}
	if refusal, refused := c.Dispatcher.CheckTicket(workspace); refused {
		writeRefusal(w, refusal)
		return
	}
	key, err := c.Tickets.Mint()
	if err != nil || !c.Ready() {
		h := jwdispatch.Refusal(http.StatusServiceUnavailable, jwrequest.NotRun, jwdispatch.ReasonLeaving, "this node mints no tickets now")
		h.Hosts = c.Dispatcher.Hosts("")
		h.RetryAfter = time.Second
		writeRefusal(w, h)
		return
	}
	writeJSON(w, http.StatusOK, ticketAnswer{Key: key})
}

func (c *Callers) request(w http.ResponseWriter, r *http.Request) {
	in, refusal, refused := parse(r)
	if size := headerSize(r.Header); c.MaxHeader > 0 && size > c.MaxHeader {
		refused = true
		refusal = jwdispatch.Refusal(http.StatusRequestHeaderFieldsTooLarge, jwrequest.NotRun, jwdispatch.ReasonHeader,
			"header longer than "+strconv.Itoa(c.MaxHeader)+" bytes")
	}
	if isShortPrintable(in.ID, maxNameLength) {
		w.Header().Set(headerRequestID, in.ID)
	}
	if refused {
		c.rejectUnchecked(w, refusal.ForKey(in.Key))
		return
	}
	done, ok := c.Gate.Enter()
	if !ok || !c.Ready() {
		if ok {
			done()
		}
		c.rejectUnchecked(w, c.refusalWhenNotReady(in))
		return
	}
	defer done()
	if refusal, refused := c.Dispatcher.Check(in); refused {
		writeRefusal(w, refusal)
		return
	}
	if refusal, refused := c.receiveBody(w, r, in); refused {
		c.rejectBody(w, in, refusal.ForKey(in.Key))
		return
	}
	sink := &httpSink{w: w, control: http.NewResponseController(w)}
	c.Dispatcher.Serve(r.Context(), in, sink)
	if sink.incomplete {
		// The answer ended early after its head was sent. A normal end of the
		// HTTP message would make it look complete, so the connection is closed.
		panic(http.ErrAbortHandler)
	}
}

// rejectUnchecked rejects a request that the dispatcher has not checked. It
// records no trace: it is not known yet whether the data is bound to another
// region, in which case no trace may be recorded here.
func (c *Callers) rejectUnchecked(w http.ResponseWriter, h jwdispatch.AnswerHead) {
	if c.Counter != nil {
		c.Counter.RecordEnd("", h.Outcome, h.Reason)
	}
	writeRefusal(w, h)
}

// rejectBody rejects a request because of its body, after the dispatcher has
// checked everything else.
func (c *Callers) rejectBody(w http.ResponseWriter, in *jwrequest.Request, h jwdispatch.AnswerHead) {
	if c.Counter != nil {
		c.Counter.RecordEnd(in.Entry, h.Outcome, h.Reason)
	}
	if c.Tracer != nil {
		c.Tracer.Step(in, "body", h.Detail)
		c.Tracer.End(in, h.Outcome, h.Reason, "")
	}
	writeRefusal(w, h)
}

// refusalWhenNotReady returns the refusal that directs callers to other nodes
// while this one starts or stops.
func (c *Callers) refusalWhenNotReady(in *jwrequest.Request) jwdispatch.AnswerHead {
	h := jwdispatch.Refusal(http.StatusServiceUnavailable, jwrequest.NotRun, jwdispatch.ReasonLeaving, "this node takes no requests now").ForKey(in.Key)
	h.Hosts = c.Dispatcher.Hosts(in.Workspace)
	h.RetryAfter = time.Second
	return h
}

// receiveBody reads the body into the request, or returns a refusal. A body whose
// announced length is too long is rejected without reading it.
func (c *Callers) receiveBody(w http.ResponseWriter, r *http.Request, in *jwrequest.Request) (jwdispatch.AnswerHead, bool) {
	limit := c.Dispatcher.MaxBody(in.Entry)
	if r.ContentLength > limit {
		return bodyRefusal(&http.MaxBytesError{Limit: limit}), true
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return bodyRefusal(err), true
	}
	_ = control.SetReadDeadline(time.Time{})
	in.Body = body
	return jwdispatch.AnswerHead{}, false
}

// maxPreallocation is the maximum length in bytes for which a buffer is allocated
// before the body arrives. It limits how much memory a caller can occupy by
// announcing more than it sends.
const maxPreallocation = 64 << 10

func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocation {
		return io.ReadAll(r)
	}
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

// bodyRefusal returns the refusal for an error of reading the body.
func bodyRefusal(err error) jwdispatch.AnswerHead {
	status, detail := http.StatusBadRequest, "the body is malformed or broke off"
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		status, detail = http.StatusRequestEntityTooLarge, "body longer than the entry allows"
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, detail = http.StatusRequestTimeout, "the body took longer than "+bodyTimeout.String()
	}
	return jwdispatch.Refusal(status, jwrequest.NotRun, jwdispatch.ReasonBody, detail)
}

func newRequestID() string { return uuid.NewString() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
