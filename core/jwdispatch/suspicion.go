package jwdispatch

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwtarget"
	"jujubewheel/core/jwworkspace"
)

// quarantined rejects the request and returns true if requests like it crashed
// targets.
func (j *job) quarantined() bool {
	state, left := j.Board.Suspects.Check(j.fingerprint(), j.Now())
	if state != jwsuspect.Quarantined {
		return false
	}
	h := Refusal(http.StatusUnprocessableEntity, jwrequest.NotRun, ReasonQuarantine, "requests with this body crashed targets")
	h.RetryAfter = left
	j.sink.reject(h)
	return true
}

// fingerprint returns the fingerprint of entry and body. It is equal for all
// tries of one request, whichever node or caller sends them.
func (j *job) fingerprint() jwsuspect.Fingerprint {
	if j.fp == (jwsuspect.Fingerprint{}) {
		j.fp = jwsuspect.FingerprintOf(j.request.Entry, j.request.Body)
	}
	return j.fp
}

// homes returns the regions that may hold the request's data, nil if all may.
func (j *job) homes() jwworkspace.Regions {
	if !j.request.Bound {
		return nil
	}
	return jwworkspace.Regions{j.Self.Region}
}

// recordCrash marks all requests that ran on a crashed target as suspects.
func (j *job) recordCrash(err error) {
	var failed *CallError
	if !errors.As(err, &failed) || !failed.Crashed {
		return
	}
	quarantined := j.Board.Suspects.Crashed(failed.Peer, "", j.Now())
	if j.OnCrash != nil {
		j.OnCrash(failed.Peer, quarantined)
	}
}

// callerHash returns a hash that is equal for all tries of one request by one
// workspace, even if each try has its own request id.
func (j *job) callerHash() uint64 {
	fp := j.fingerprint()
	return jwtarget.Mix(xxhash.Sum64String(j.request.Workspace), xxhash.Sum64(fp[:]))
}
