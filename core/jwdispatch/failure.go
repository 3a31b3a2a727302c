package jwdispatch

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
)

// giveUp ends the request after its last try failed with err.
func (j *job) giveUp(ctx context.Context, err error) {
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
		// Without a head, a caller that is still connected would see an empty
		// answer with status 200, as when the server cancels its calls.
		j.sink.reject(Refusal(http.StatusGatewayTimeout, jwrequest.Unknown, ReasonCaller, "caller gone"))
		return
	}
	j.sink.reject(j.failure(ctx, err))
}

// failure converts the last error into the refusal that the caller gets.
func (j *job) failure(ctx context.Context, err error) AnswerHead {
	var noPlacement *noPlacementError
	var failed *CallError
	outcome := jwrequest.NotRun
	if j.mayHaveRun {
		outcome = jwrequest.Unknown
	}
	switch {
	case errors.As(err, &noPlacement):
		h := unavailable(ReasonNoTarget, noPlacement.Error(), defaultRetryAfter)
		h.Outcome = outcome
		return h
	case errors.As(err, &failed):
		if !failed.NotRun() {
			outcome = jwrequest.Unknown
		}
		if ctx.Err() != nil {
			return Refusal(http.StatusGatewayTimeout, outcome, ReasonDeadline, "no whole answer in time")
		}
		h := Refusal(http.StatusBadGateway, outcome, ReasonTarget, string(failed.Kind))
		if outcome == jwrequest.NotRun {
			h.Status = http.StatusServiceUnavailable
		}
		h.RetryAfter = max(failed.RetryAfter, defaultRetryAfter)
		if failed.Crashed {
			// All callers with requests on the crashed target get this
			// refusal at the same time. Spread over time, their retries
			// reach different targets, so that the request that causes the
			// crashes can be identified.
			h.RetryAfter = crashRetryAfter + rand.N(crashRetryAfter)
		}
		return h
	}
	return Refusal(http.StatusBadGateway, jwrequest.Unknown, ReasonTarget, err.Error())
}
