package jwgateway

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwmeter"
)

// estimateErrors has the histograms of the errors of expected first events, by the load of the target
// and by whether the event came before or after it was expected.
type estimateErrors map[jwinstance.LoadBand]struct{ early, late tally.Histogram }

func newEstimateErrors(m *jwmeter.Meter) estimateErrors {
	e := make(estimateErrors)
	for _, b := range []jwinstance.LoadBand{jwinstance.LoadLow, jwinstance.LoadHigh, jwinstance.LoadQueued} {
		h := e[b]
		h.early = m.Durations("first_event_error_seconds", jwmeter.Tags{"load": string(b), "event": "early"})
		h.late = m.Durations("first_event_error_seconds", jwmeter.Tags{"load": string(b), "event": "late"})
		e[b] = h
	}
	return e
}

// recordEstimate records how far a first event was from its estimate, under overload control.
func (m *metrics) recordEstimate(c jwinstance.Choice, first time.Duration) {
	h, ok := m.estimateErrors[c.Load]
	switch {
	case !ok || !c.ByPriority || c.Cold:
	case first < c.Expected:
		h.early.RecordDuration(c.Expected - first)
	default:
		h.late.RecordDuration(first - c.Expected)
	}
}
