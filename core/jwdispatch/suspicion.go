package jwdispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwsuspect"
)

// quarantined ends the request if requests like it crashed targets.
func (j *job) quarantined() bool {
	state, left := j.Board.Suspects.Check(j.fingerprint(), j.Now())
	if state != jwsuspect.Quarantined {
		return false
	}
	h := Refusal(http.StatusUnprocessableEntity, jwrequest.NotRun, ReasonQuarantine, "requests with this body crashed targets")
	h.RetryAfter = left
	j.sink.refuse(h)
	return true
}

// fingerprint is the same for each try of one request, whoever sends it again.
func (j *job) fingerprint() jwsuspect.Fingerprint {
	return jwsuspect.FingerprintOf(j.request.Entry, j.request.Body)
}

// noteCrash raises suspicion against all that ran on a target that crashed.
// The other nodes hear at once: the caller of the request that did it may send
// it again through each of them, and each would give it another target.
func (j *job) noteCrash(err error) {
	var failed *CallError
	if !errors.As(err, &failed) || !failed.Crashed {
		return
	}
	j.Board.Suspects.Crashed(failed.Peer, j.Now())
	if j.Nudge != nil {
		j.Nudge()
	}
}

// callerHash is the same for each try of one request by one caller.
func callerHash(r *jwrequest.Request) uint64 {
	return xxhash.Sum64String(r.Workspace + "\x00" + r.Entry + "\x00" + r.ID)
}
