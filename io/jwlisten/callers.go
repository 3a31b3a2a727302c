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

// hostsTrust is how long a caller may use a list of hosts before it asks again.
const hostListMaxAge = 5 * time.Second

// slowBody bounds the time to send a request's body, so that slow senders don't
// hold memory for ever.
const bodyTimeout = 15 * time.Second

// Dispatcher serves requests.
type Dispatcher interface {
	Check(r *jwrequest.Request) (refusal jwdispatch.Head, refused bool)
	MaxBody(entry string) int64
	Serve(ctx context.Context, r *jwrequest.Request, sink jwdispatch.Sink)
	CheckTicket(workspace string) (refusal jwdispatch.Head, refused bool)
	Hosts(workspace string) []netip.AddrPort
}

// Gate counts the requests in flight and is closed when the node stops.
type Gate interface {
	// Enter takes a request in; ok is false once the node takes no more.
	Enter() (done func(), ok bool)
}

// Tickets mints idempotency keys.
type Tickets interface {
	Mint() (string, error)
}

// Counter counts requests that ended here and never reached the dispatcher,
// which counts its own. The entry is empty where nobody has checked its name.
type Counter interface {
	Ended(entry string, outcome jwrequest.Outcome, reason jwdispatch.Reason)
}

// Callers answers callers; its fields are set before Handler.
type Callers struct {
	Dispatcher Dispatcher
	Gate       Gate
	Tickets    Tickets
	MaxHeader  int               // bytes of a request's header, 0 for no bound of its own
	Ready      func() bool       // whether the node serves
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
	}, jwrest.Stray{NotFound: http.HandlerFunc(notFound), NotAllowed: http.HandlerFunc(notAllowed)})
}

// hostList is the answer to a caller that asks which hosts to use.
type hostList struct {
	Hosts       []netip.AddrPort `json:"hosts"`
	TrustMillis int64            `json:"trustMillis"`
}

func (c *Callers) hosts(w http.ResponseWriter, r *http.Request) {
	workspace := r.URL.Query().Get("workspace")
	list := hostList{Hosts: c.Dispatcher.Hosts(workspace), TrustMillis: hostListMaxAge.Milliseconds()}
	writeJSON(w, http.StatusOK, list)
}

type ticketAnswer struct {
	Key string `json:"key"`
}

func (c *Callers) ticket(w http.ResponseWriter, r *http.Request) {
	workspace := r.Header.Get(headerWorkspace)
	if len(r.Header.Values(headerWorkspace)) > 1 || !isShortPrintable(workspace, maxNameLength) {
		c.refuseUnchecked(w, badHeader(headerWorkspace))
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
		c.refuseUnchecked(w, refusal.ForKey(in.Key))
		return
	}
	done, ok := c.Gate.Enter()
	if !ok || !c.Ready() {
		if ok {
			done()
		}
		c.refuseUnchecked(w, c.refusalWhenLeaving(in))
		return
	}
	defer done()
	if refusal, refused := c.Dispatcher.Check(in); refused {
		writeRefusal(w, refusal)
		return
	}
	if refusal, refused := c.receiveBody(w, r, in); refused {
		c.refuseBody(w, in, refusal.ForKey(in.Key))
		return
	}
	sink := &httpSink{w: w, control: http.NewResponseController(w)}
	c.Dispatcher.Serve(r.Context(), in, sink)
	if sink.incomplete {
		// The answer broke off after it began. A normal end of the HTTP
		// message would make it look whole, so the connection is cut.
		panic(http.ErrAbortHandler)
	}
}

// turnAway refuses a request that the dispatcher has not checked. It leaves no
// trace: whether it is bound, and must leave none here, is not known yet.
func (c *Callers) refuseUnchecked(w http.ResponseWriter, h jwdispatch.Head) {
	if c.Counter != nil {
		c.Counter.Ended("", h.Outcome, h.Reason)
	}
	writeRefusal(w, h)
}

// refuseBody refuses a request for its body, after the dispatcher has checked
// the rest of it.
func (c *Callers) refuseBody(w http.ResponseWriter, in *jwrequest.Request, h jwdispatch.Head) {
	if c.Counter != nil {
		c.Counter.Ended(in.Entry, h.Outcome, h.Reason)
	}
	if c.Tracer != nil {
		c.Tracer.Step(in, "body", h.Detail)
		c.Tracer.End(in, h.Outcome, h.Reason, "")
	}
	writeRefusal(w, h)
}

// leaving sends callers to other nodes while this one stops or starts.
func (c *Callers) refusalWhenLeaving(in *jwrequest.Request) jwdispatch.Head {
	h := jwdispatch.Refusal(http.StatusServiceUnavailable, jwrequest.NotRun, jwdispatch.ReasonLeaving, "this node takes no requests now").ForKey(in.Key)
	h.Hosts = c.Dispatcher.Hosts(in.Workspace)
	h.RetryAfter = time.Second
	return h
}

// read takes in the body.
func (c *Callers) receiveBody(w http.ResponseWriter, r *http.Request, in *jwrequest.Request) (jwdispatch.Head, bool) {
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
	return jwdispatch.Head{}, false
}

// trustedLength is up to which length a buffer is made before the bytes come; a
// caller that announces more than it sends can't make a node hold much.
const maxPreallocation = 64 << 10

func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxPreallocation {
		return io.ReadAll(r)
	}
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

// bodyRefusal tells why a body was not taken in.
func bodyRefusal(err error) jwdispatch.Head {
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
