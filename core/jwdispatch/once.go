package jwdispatch

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwsuspect"
)

// Claims decides which requests with an idempotency key may run.
type Claims interface {
	// Begin claims the key or reports what is known of an earlier claim.
	Begin(ctx context.Context, a jwclaim.KeyedCall) (jwclaim.Decision, error)
	// Preferred returns the node of the home region that writes the claims of
	// the key's slot, or an empty string if there is none.
	Preferred(a jwclaim.KeyedCall) string
}

// serveOnce runs a request at most once for its key. It continues when its
// caller disconnects: the answer is stored for the caller's next try.
func (j *job) serveOnce(ctx context.Context) {
	keyedCall := jwclaim.KeyedCall{
		Workspace: j.request.Workspace,
		Region:    j.workspace.Region,
		Key:       j.request.Key,
		Body:      j.bodyHash(),
		KeyMemory: j.entry.KeyMemory,
	}
	if j.workspace.Region != j.Self.Region {
		j.forwardToHome(ctx, keyedCall)
		return
	}
	if j.forwardToPreferred(ctx, keyedCall) {
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.request.Deadline)
	defer cancel()
	decision, err := j.Claims.Begin(ctx, keyedCall)
	if err != nil {
		j.sink.reject(Refusal(http.StatusBadRequest, jwrequest.NotRun, ReasonKey, err.Error()))
		return
	}
	j.trace("claim", string(decision.Verdict))
	j.applyDecision(ctx, decision)
}

// bodyHash hashes the entry and the body. The same key and body sent to another
// entry are another request, which must not get the answer of the first one.
func (j *job) bodyHash() [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(j.request.Entry))
	h.Write([]byte{0})
	h.Write(j.request.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// applyDecision acts on the decision about the claim.
func (j *job) applyDecision(ctx context.Context, d jwclaim.Decision) {
	switch d.Verdict {
	case jwclaim.Run:
		j.runOnce(ctx, d.Call)
	case jwclaim.Join:
		a, err := d.Call.Wait(ctx)
		if err != nil {
			j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonDeadline, "an earlier try with this key still runs"))
			return
		}
		j.replay(a)
	case jwclaim.Replay:
		j.replay(d.Answer)
	case jwclaim.AskHolder:
		j.forwardToHolder(ctx, d.Holder)
	case jwclaim.Mismatch:
		// This body did not run, but the key belongs to another request that
		// did.
		j.sink.reject(Refusal(http.StatusConflict, jwrequest.NotRun, ReasonKeyMismatch, "the key came with another body before"))
	case jwclaim.Rejected:
		j.sink.reject(Refusal(http.StatusBadRequest, jwrequest.NotRun, ReasonTicket, "no node of this system minted this ticket"))
	case jwclaim.NotRun:
		j.sink.reject(unavailable(ReasonClaim, "the key could not be claimed; it was not run", d.RetryAfter))
	case jwclaim.ClaimsUnreadable:
		h := unavailable(ReasonClaim, "this try ran nothing, but whether an earlier one with this key did can't be read now; send the same key again, or use a ticket for a new order", d.RetryAfter)
		h.Outcome = jwrequest.Unknown
		j.sink.reject(h)
	default:
		j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonClaim, "an earlier try with this key may have run; it never runs again"))
	}
}

// replay sends the stored answer of the one run of a key.
func (j *job) replay(a jwclaim.Answer) {
	switch a.Outcome {
	case jwrequest.Served:
		j.sink.sendComplete(AnswerHead{Status: a.Status, ContentType: a.ContentType, Outcome: a.Outcome, ServedBy: a.Region}, a.Body)
	case jwrequest.NotRun:
		j.sink.reject(unavailable(ReasonTarget, "the try that this one waited for was not run", defaultRetryAfter))
	default:
		j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonTarget, "the one run of this key broke off"))
	}
}

// runOnce calls a target for a claimed key. Each return settles the claim: it
// is finished with the answer, released if the request certainly did not run,
// and otherwise lost.
func (j *job) runOnce(ctx context.Context, call *jwclaim.Call) {
	// Without this a panic would leave the key in flight forever, and all
	// later tries with it would wait. It has no effect on a settled call.
	defer call.MarkLost()
	if state, left := j.Board.Suspects.Check(j.fingerprint(), j.Now()); state == jwsuspect.Quarantined {
		call.Release()
		h := Refusal(http.StatusUnprocessableEntity, jwrequest.NotRun, ReasonQuarantine, "requests with this body crashed targets")
		h.RetryAfter = left
		j.sink.reject(h)
		return
	}
	release, refused, admitted := j.admit(false)
	if !admitted {
		call.Release()
		j.sink.reject(unavailable(ReasonLimit, string(refused.Reason), refused.RetryAfter))
		return
	}
	defer release()
	if err := call.MarkDispatched(); err != nil {
		j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonClaim, err.Error()))
		return
	}
	j.initQuery()
	j.Board.Budget.Try(j.entry.Name)
	for {
		j.tries++
		head, body, err := j.callOnce(ctx)
		if err == nil {
			call.Finish(jwclaim.Answer{
				Status: head.Status, ContentType: head.ContentType, Body: body,
				Outcome: jwrequest.Served, Region: j.Self.Region,
			})
			j.sink.sendComplete(head, body)
			return
		}
		if !notRun(err) {
			call.MarkLost()
			j.mayHaveRun = true
			j.sink.reject(j.failure(ctx, err))
			return
		}
		if ctx.Err() != nil || isNoPlacement(err) || j.tries >= maxTries || !j.Board.Budget.Retry(j.entry.Name) {
			call.Release()
			j.sink.reject(j.failure(ctx, err))
			return
		}
	}
}

// callOnce makes one call of a target of this region and reads the complete
// answer.
func (j *job) callOnce(ctx context.Context) (AnswerHead, []byte, error) {
	j.query.Now = j.Now()
	t, a, err := j.callTarget(ctx, false)
	if err != nil {
		return AnswerHead{}, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedAnswer+1))
	if err == nil && len(body) > maxBufferedAnswer {
		err = &CallError{Step: "read answer", Kind: BrokenOff, Err: errors.New("answer too long to keep")}
	}
	t.end(ctx, err)
	return a.Head, body, err
}

// notRun reports whether an error means that nothing ran.
func notRun(err error) bool {
	var failed *CallError
	if errors.As(err, &failed) {
		return failed.NotRun()
	}
	return isNoPlacement(err)
}

// isNoPlacement reports whether an error is a noPlacementError.
func isNoPlacement(err error) bool {
	var noPlacement *noPlacementError
	return errors.As(err, &noPlacement)
}

// forwardToHome forwards a request to the home region of its workspace, where
// its keys are claimed.
func (j *job) forwardToHome(ctx context.Context, keyedCall jwclaim.KeyedCall) {
	if j.forwarded {
		j.sink.reject(j.keyUncheckedRefusal("the home region has changed on the way"))
		return
	}
	peers := j.peersIn(j.workspace.Region, j.workspace.Name)
	j.movePreferredToFront(peers, keyedCall)
	if len(peers) > 0 {
		_, a, err := j.forwardToFirst(ctx, peers)
		if j.relayAnswer(a, err) {
			return
		}
	}
	j.sink.reject(j.keyUncheckedRefusal("no node of the home region can be reached"))
}

// movePreferredToFront moves the node that writes the claims of the key to the
// front.
func (j *job) movePreferredToFront(peers []jwpeer.Peer, keyedCall jwclaim.KeyedCall) {
	name := j.preferredNode(keyedCall)
	i := slices.IndexFunc(peers, func(p jwpeer.Peer) bool { return p.Name == name })
	if i > 0 {
		writer := peers[i]
		copy(peers[1:i+1], peers[:i])
		peers[0] = writer
	}
}

// forwardToPreferred forwards a request whose key was chosen by its caller to
// the node of this region that writes the claims of the key's slot. Otherwise
// all nodes of a region would write the same few documents: their
// compare-and-swap writes would fail because of each other, and in a large
// region most calls would get no claim in time. It returns false if the request
// is to be claimed here: because this is that node, because the request was
// forwarded before, or because the other node certainly did not accept it.
func (j *job) forwardToPreferred(ctx context.Context, keyedCall jwclaim.KeyedCall) bool {
	if j.forwarded {
		return false
	}
	name := j.preferredNode(keyedCall)
	p, known := j.Board.Peers.Get(name)
	if !known || name == j.Self.Node || p.State != jwpeer.Serving {
		return false
	}
	j.trace("forward", p.Name)
	a, err := j.Peers.Forward(ctx, p, j.request, ForwardWriter)
	j.Counter.RecordTry(j.entry.Name, ForwardWriter, err == nil)
	return j.relayAnswer(a, err)
}

// preferredNode returns the node that writes the claims of a key chosen by a
// caller, and an empty string for a ticket, which has none.
func (j *job) preferredNode(keyedCall jwclaim.KeyedCall) string {
	if jwclaim.IsTicket(keyedCall.Key) {
		return ""
	}
	return j.Claims.Preferred(keyedCall)
}

// keyUncheckedRefusal returns the refusal of a request whose key could not be
// looked up.
func (j *job) keyUncheckedRefusal(detail string) AnswerHead {
	h := unavailable(ReasonPeer, detail, defaultRetryAfter).ForKey(j.request.Key)
	h.Hosts = j.Hosts(j.request.Workspace)
	return h
}

// forwardToHolder forwards the request to the node that holds the claim of its
// key.
func (j *job) forwardToHolder(ctx context.Context, holder jwclaim.Holder) {
	p, known := j.Board.Peers.Get(holder.Node)
	if !known || p.Incarnation != holder.Incarnation || p.State == jwpeer.Gone || len(j.request.Hops) >= MaxHops || holder.Region != j.Self.Region {
		j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonClaim, "the node that took this key is gone; it may have run"))
		return
	}
	holderHop := jwrequest.Hop{Node: p.Name, Region: p.Region, DataCentre: p.DataCentre}
	if j.request.Hops.With(holderHop).RevisitsDataCentre() {
		// The request would return to a data centre that it has passed
		// before. The caller can send it to that node directly.
		h := Refusal(http.StatusServiceUnavailable, jwrequest.Unknown, ReasonClaim, "another host took this key; send it there")
		h.RetryAfter, h.Hosts = defaultRetryAfter, []netip.AddrPort{p.CallerAddress}
		j.sink.reject(h)
		return
	}
	j.trace("forward", p.Name)
	a, err := j.Peers.Forward(ctx, p, j.request, ForwardHolder)
	if !j.relayAnswer(a, err) {
		j.sink.reject(Refusal(http.StatusBadGateway, jwrequest.Unknown, ReasonPeer, "the node that took this key can't be reached; it may have run"))
	}
}

// relayAnswer copies the answer of another node to the caller. It returns false
// if that node did not accept the request, so that another may be tried.
func (j *job) relayAnswer(a *Answer, err error) bool {
	if err != nil {
		if notRun(err) {
			return false
		}
		j.sink.reject(Refusal(http.StatusBadGateway, jwrequest.Unknown, ReasonPeer, err.Error()))
		return true
	}
	rl := &relay{sink: j.sink}
	if err := rl.copy(a); err != nil && !errors.Is(err, errCallerGone) {
		j.sink.reject(Refusal(http.StatusBadGateway, jwrequest.Unknown, ReasonPeer, err.Error()))
	}
	return true
}
