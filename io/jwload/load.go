package jwload

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwrequest"
)

const (
	serviceName = "jwload" // name of the HTTP client in go-zero's metrics and breakers
	idleConns   = 4096     // kept open per host
	idleTimeout = time.Minute
	maxTries    = 5 // per request
	// lateGrace is how long after its deadline a call is still awaited, so that the
	// report can distinguish a late answer from a missing one. It is also the
	// timeout for a new connection.
	lateGrace = 2 * time.Second
	// resendDelay is how long after the first send a caller sends a duplicate.
	resendDelay = 20 * time.Millisecond
)

// requestDoer sends one HTTP request.
type requestDoer interface {
	DoRequest(r *http.Request) (*http.Response, error)
}

// Load sends the requests of a schedule and records the results.
type Load struct {
	Schedule      Schedule                    // the requests to send
	Duration      time.Duration               // requests due later than this are not sent
	WarmUp        time.Duration               // requests due in this first part are audited, but not reported
	Hosts         map[string][]netip.AddrPort // addresses of nodes by region; the key is "" if Schedule has no regions
	Targets       map[Target][]netip.AddrPort // addresses of targets, for direct requests
	FollowRetries bool                        // retries after Retry-After and uses the hosts that an answer names

	service     requestDoer
	results     results
	audit       audit
	nextHost    atomic.Uint64 // counts requests, to spread them over the hosts
	inFlight    atomic.Int64  // requests in flight
	maxInFlight atomic.Int64  // maximum of inFlight so far
}

// Run sends the load and returns once every request has ended.
func (l *Load) Run(ctx context.Context) error {
	if err := l.check(); err != nil {
		return err
	}
	if l.service == nil {
		transport := newTransport()
		defer transport.CloseIdleConnections()
		breaker.NoBreakerFor(serviceName) // a circuit breaker would reject calls without sending them
		l.service = httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport})
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for {
		a := l.Schedule.Next()
		if a.At > l.Duration {
			return nil
		}
		due := start.Add(a.At)
		if jwclock.Sleep(ctx, time.Until(due)) != nil {
			return errors.Wrap(ctx.Err(), "send load")
		}
		wg.Go(func() { l.send(ctx, a, due) })
	}
}

// newTransport returns an HTTP transport that keeps enough idle connections for
// an open-loop load.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: lateGrace}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// check returns an error for a load that can't be sent.
func (l *Load) check() error {
	if err := l.Schedule.Mix.check(); err != nil {
		return err
	}
	if l.Schedule.Rate <= 0 || l.Duration <= 0 {
		return errors.New("load: rate and duration must be above 0")
	}
	if l.WarmUp < 0 || l.WarmUp >= l.Duration {
		return errors.New("load: the unreported first part must be shorter than the duration, and not negative")
	}
	regions := l.Schedule.Regions
	if len(regions) == 0 {
		regions = []Region{{}}
	}
	for _, r := range regions {
		if l.Schedule.Direct < 1 && len(l.Hosts[r.Name]) == 0 {
			return errors.Errorf("load: no hosts for region %q", r.Name)
		}
	}
	for _, k := range l.Schedule.Mix.Kinds {
		if l.Schedule.Direct > 0 && len(l.Targets[k.Target]) == 0 {
			return errors.Errorf("load: no target of kind %s for direct calls", k.Target)
		}
	}
	return nil
}

// Report returns the results of the load, without those of the part WarmUp.
func (l *Load) Report() Report {
	return l.results.report(l.Duration-l.WarmUp, l.maxInFlight.Load())
}

// send sends one request, with retries if FollowRetries is set, and records its
// result.
func (l *Load) send(ctx context.Context, a Arrival, due time.Time) {
	inFlight := l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	for maxSeen := l.maxInFlight.Load(); inFlight > maxSeen && !l.maxInFlight.CompareAndSwap(maxSeen, inFlight); {
		maxSeen = l.maxInFlight.Load()
	}
	if a.SendTwice {
		defer l.sendDuplicate(ctx, a, due)()
	}
	deadline := due.Add(time.Duration(a.Kind.Deadline))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateGrace))
	defer cancel()
	o := requestResult{arrival: a}
	hosts := l.hostsFor(a)
	firstHost := int(l.nextHost.Add(1))
	for try := range maxTries {
		host := hosts[(firstHost+try)%len(hosts)]
		o.answer = l.call(ctx, a, host, deadline)
		o.end = time.Now()
		if !l.FollowRetries || o.answer.outcome != jwrequest.NotRun || a.Direct {
			break
		}
		if len(o.answer.hosts) > 0 {
			hosts, firstHost = o.answer.hosts, -try-1 // the first named host is next
		}
		retryAt := time.Now().Add(o.answer.retryAfter)
		if try == maxTries-1 || retryAt.After(deadline) {
			break
		}
		o.retries++
		if jwclock.Sleep(ctx, time.Until(retryAt)) != nil {
			break
		}
	}
	if a.At >= l.WarmUp {
		l.results.add(o, due)
	}
	l.audit.recordOutcome(a, o.answer.outcome)
}

// sendDuplicate sends the request a second time while the first send is in
// flight, as a user who reloads a page that hangs. The function wait returns
// once the duplicate has ended. Duplicates count in the audit only, not in the
// other results.
func (l *Load) sendDuplicate(ctx context.Context, a Arrival, due time.Time) (wait func()) {
	deadline := due.Add(time.Duration(a.Kind.Deadline))
	hosts := l.hostsFor(a)
	host := hosts[a.Number%len(hosts)]
	a.ID += "-again"
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithDeadline(ctx, deadline.Add(lateGrace))
		defer cancel()
		if jwclock.Sleep(ctx, time.Until(due.Add(resendDelay))) != nil {
			return
		}
		ans := l.call(ctx, a, host, deadline)
		l.audit.recordOutcome(a, ans.outcome)
	}()
	return func() { <-done }
}

// hostsFor returns the addresses to which a request may be sent.
func (l *Load) hostsFor(a Arrival) []netip.AddrPort {
	if a.Direct {
		return l.Targets[a.Kind.Target]
	}
	return l.Hosts[a.Region]
}

// call sends the request once.
func (l *Load) call(ctx context.Context, a Arrival, host netip.AddrPort, deadline time.Time) answer {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := newRequest(httptrace.WithClientTrace(ctx, trace), a, host, time.Until(deadline))
	if err != nil {
		return answer{outcome: jwrequest.NotRun}
	}
	res, err := l.service.DoRequest(r)
	if err != nil {
		if connected.Load() {
			return answer{outcome: jwrequest.Unknown}
		}
		return answer{outcome: jwrequest.NotRun}
	}
	defer res.Body.Close()
	return readAnswer(res, a, time.Now)
}

// newRequest builds the request of an arrival; timeLeft is sent as its timeout.
func newRequest(ctx context.Context, a Arrival, host netip.AddrPort, timeLeft time.Duration) (*http.Request, error) {
	path := "/v1/requests/" + a.Kind.Entry
	if a.Direct {
		path = a.Kind.Path
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.String()+path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Jujube-Workspace", a.Workspace)
	r.Header.Set("Jujube-Request-Id", a.ID)
	r.Header.Set("Jujube-Timeout", strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)+"ms")
	if a.Kind.Stream {
		r.Header.Set("Accept", "text/event-stream")
	}
	if a.Key != "" {
		r.Header.Set("Idempotency-Key", a.Key)
	}
	return r, nil
}
