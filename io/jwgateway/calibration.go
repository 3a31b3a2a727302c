package jwgateway

import (
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwmeter"
)

// estimateErrors has the histograms of the errors of expected first events, by the load of the target
// and by whether the event came before or after it was expected. They are registered with the first
// event under overload control.
type estimateErrors struct {
	once   sync.Once
	byLoad map[jwinstance.LoadBand]estimateError
}

type estimateError struct{ early, late tally.Histogram }

func (e *estimateErrors) register(m *jwmeter.Meter) {
	e.byLoad = make(map[jwinstance.LoadBand]estimateError)
	for _, b := range []jwinstance.LoadBand{jwinstance.LoadLow, jwinstance.LoadHigh, jwinstance.LoadQueued} {
		e.byLoad[b] = estimateError{
			early: m.Durations("first_event_error_seconds", jwmeter.Tags{"load": string(b), "event": "early"}),
			late:  m.Durations("first_event_error_seconds", jwmeter.Tags{"load": string(b), "event": "late"}),
		}
	}
}

// recordEstimate records how far a first event was from its estimate, under overload control.
func (m *metrics) recordEstimate(c jwinstance.Choice, first time.Duration) {
	if !c.ByPriority || c.Cold {
		return
	}
	m.estimateErrors.once.Do(func() { m.estimateErrors.register(m.meter) })
	h, ok := m.estimateErrors.byLoad[c.Load]
	switch {
	case !ok:
	case first < c.Expected:
		h.early.RecordDuration(c.Expected - first)
	default:
		h.late.RecordDuration(first - c.Expected)
	}
}
