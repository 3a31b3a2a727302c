package jwdispatch

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// giveUp ends the request with what is known of it.
func (j *job) giveUp(ctx context.Context, err error) {
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		// An end without a head would be an empty answer of status 200 to one
		// who is still there, as when the server cancels its calls.
		j.sink.refuse(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonCaller, "caller gone"))
		return
	}
	j.sink.refuse(j.failure(ctx, err))
}

// failure words the last error for the caller.
func (j *job) failure(ctx context.Context, err error) Head {
	var place *noPlacementError
	var failed *CallError
	outcome := jwrequest.NotRun
	if j.mayHaveRun {
		outcome = jwrequest.Unknown
	}
	switch {
	case errors.As(err, &place):
		h := unavailable(ReasonNoTarget, place.Error(), defaultRetryAfter)
		h.Outcome = outcome
		return h
	case errors.As(err, &failed):
		if !failed.NotRun() {
			outcome = jwrequest.Unknown
		}
		if ctx.Err() != nil {
			return Refusal(http.StatusGatewayTimeout, outcome, ReasonDeadline, "no whole answer in time")
		}
		h := Refusal(http.StatusBadGateway, outcome, ReasonTarget, string(failed.Fate))
		if outcome == jwrequest.NotRun {
			h.Status = http.StatusServiceUnavailable
		}
		h.RetryAfter = max(failed.RetryAfter, defaultRetryAfter)
		if failed.Crashed {
			// All that was on the target hears this at once. Apart in time, they
			// come to different targets, and the one that crashes them is found.
			h.RetryAfter = crashRetryAfter + rand.N(crashRetryAfter)
		}
		return h
	}
	return Refusal(http.StatusBadGateway, jwrequest.Unknown, ReasonTarget, err.Error())
}
