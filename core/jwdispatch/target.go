package jwdispatch

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
)

// tryTarget calls a target of this region and copies its answer to the caller.
func (j *job) tryTarget(ctx context.Context, rl *relay) error {
	t, a, err := j.callTarget(ctx, true)
	if err != nil {
		return err
	}
	err = rl.copy(a)
	if err != nil && j.resume(ctx, rl, t, err) {
		err = nil
	}
	t.end(ctx, err)
	return err
}

// resume asks the target of a broken stream to continue after the last event
// sent, over a new connection. It succeeds only where just the connection was
// lost: a target whose process died refuses, and the break counts as a crash.
func (j *job) resume(ctx context.Context, rl *relay, t *targetAttempt, cause error) bool {
	var failed *CallError
	for range maxResumes {
		if ctx.Err() != nil || rl.events.lastEventID() == "" || !errors.As(cause, &failed) || failed.NotRun() {
			return false
		}
		if !j.Board.Budget.Retry(j.entry.Name) {
			return false
		}
		j.trace("resume", t.address.String())
		call := t.call
		call.LastEventID = rl.events.lastEventID()
		a, err := j.Targets.Call(ctx, t.address, call)
		if err != nil {
			return false
		}
		if cause = rl.copy(a); cause == nil {
			return true
		}
	}
	return false
}

// maxResumes is the maximum number of times that one target is asked to
// continue a stream.
const maxResumes = 3

// targetAttempt is the state of one call of a target.
type targetAttempt struct {
	job      *job
	address  netip.AddrPort
	fp       jwsuspect.Fingerprint
	inFlight jwtarget.Call
	call     TargetCall
}

// callTarget chooses a target of this region and calls it. If it returns an
// answer, the method end must be called once with the result of copying it.
func (j *job) callTarget(ctx context.Context, idempotent bool) (*targetAttempt, *Answer, error) {
	fp := j.fingerprint()
	choice, found := j.pick(fp)
	if !found {
		return nil, nil, &noPlacementError{reason: jwrouter.Nowhere}
	}
	j.trace("target", string(choice.Reason)+" "+choice.Address.String())
	t := &targetAttempt{job: j, address: choice.Address, fp: fp, call: TargetCall{
		Request: j.request, Path: j.entry.Path, Idempotent: idempotent,
		ProgressTimeout: j.entry.Progress, Urgency: urgency(j.entry.Class),
	}}
	t.inFlight = j.Board.Targets.Begin(choice.Address, j.query.CallTime, j.Now())
	t.inFlight.Kind = j.entry.Name
	j.Board.Suspects.Begin(fp, choice.Address, j.homes())
	a, err := j.Targets.Call(ctx, choice.Address, t.call)
	if err != nil {
		t.end(ctx, err)
		return nil, nil, err
	}
	a.Head.ServedBy = j.Self.Region
	return t, a, nil
}

// pick chooses a target. A suspected request avoids the targets that jwsuspect
// excludes for it.
func (j *job) pick(fp jwsuspect.Fingerprint) (jwrouter.Choice, bool) {
	tried := j.query.Exclude
	defer func() { j.query.Exclude = tried }()
	if state, _ := j.Board.Suspects.Check(fp, j.Now()); state == jwsuspect.Suspected {
		excluded := j.Board.Suspects.ExcludedTargets(fp, j.usableTargets(), j.Now())
		j.query.Exclude = append(tried[:len(tried):len(tried)], excluded...)
	}
	return j.Router.Pick(&j.query)
}

// end records the result of the call and removes it from the tables of calls in
// flight.
func (t *targetAttempt) end(ctx context.Context, err error) {
	j := t.job
	now := j.Now()
	j.recordCrash(err)
	j.Board.Suspects.End(t.fp, t.address, err == nil, now)
	j.Board.Targets.End(t.inFlight, callResult(ctx, err), now)
	j.Counter.RecordTry(j.entry.Name, "target", err == nil)
	if err != nil {
		j.query.Exclude = append(j.query.Exclude, t.address)
	}
}

// usableTargets returns the targets of the entry's service that this node uses.
func (j *job) usableTargets() []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range j.Board.Targets.Polled() {
		if t.Service == j.entry.Service {
			out = append(out, t.Address)
		}
	}
	return out
}

// callResult converts the error of a call into a result for the target table.
func callResult(ctx context.Context, err error) jwtarget.Result {
	var failed *CallError
	switch {
	case err == nil:
		return jwtarget.Done
	case ctx.Err() != nil, errors.Is(err, errCallerGone), errors.Is(err, errDiverged):
		return jwtarget.Canceled
	case errors.As(err, &failed) && failed.Kind == Refused:
		return jwtarget.Refused
	}
	return jwtarget.Broken
}
