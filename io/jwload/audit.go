package jwload

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwstand"
)

// Audit compares the outcomes that callers received with the runs in the
// journals of the targets.
type Audit struct {
	Runs          int `json:"runs"`        // runs of this load, without resumed streams
	RanTwice      int `json:"ranTwice"`    // idempotency keys that ran more than once
	FalseNotRun   int `json:"falseNotRun"` // requests that ran although every outcome was notRun
	FalseServed   int `json:"falseServed"` // requests with the outcome served that are in no journal that was read
	OutsideRegion int `json:"abroad"`      // runs of bound data outside its region
}

// sentRequest collects the outcomes and runs of one request over all its sends.
type sentRequest struct {
	region string
	bound  bool
	hasKey bool
	served bool
	notRun bool // every outcome so far was notRun
	runs   int
}

// audit collects the outcomes that callers received. The zero value is ready
// to use.
type audit struct {
	mu       sync.Mutex
	requests map[string]*sentRequest // by idempotency key, or by request ID without one
}

// recordOutcome records the outcome of one send.
func (au *audit) recordOutcome(a Arrival, outcome jwrequest.Outcome) {
	au.mu.Lock()
	defer au.mu.Unlock()
	if au.requests == nil {
		au.requests = make(map[string]*sentRequest)
	}
	key := auditKey(a.Key, a.ID)
	r, found := au.requests[key]
	if !found {
		r = &sentRequest{region: a.Region, bound: a.Bound && !a.Direct, hasKey: a.Key != "", notRun: true}
		au.requests[key] = r
	}
	r.served = r.served || outcome == jwrequest.Served
	r.notRun = r.notRun && outcome == jwrequest.NotRun
}

// auditKey returns the idempotency key of a request, or its ID if it has none.
func auditKey(key, id string) string {
	if key != "" {
		return key
	}
	return id
}

// compare counts the runs that contradict the outcomes. The runs are given by
// region of the target, "" if that is not known.
func (au *audit) compare(runs map[string][]jwstand.Run) *Audit {
	au.mu.Lock()
	defer au.mu.Unlock()
	result := &Audit{}
	for _, r := range au.requests {
		r.runs = 0
	}
	for region, list := range runs {
		for _, run := range list {
			r, found := au.requests[auditKey(run.Key, run.RequestID)]
			if !found {
				continue // run of another load
			}
			if r.bound && region != "" && region != r.region {
				result.OutsideRegion++
			}
			if !run.Resumed {
				r.runs++
				result.Runs++
			}
		}
	}
	for _, r := range au.requests {
		switch {
		case r.hasKey && r.runs > 1:
			result.RanTwice++
		case r.notRun && r.runs > 0:
			result.FalseNotRun++
		case r.served && r.runs == 0:
			result.FalseServed++
		}
	}
	return result
}

// Audit reads the journals of targets and compares them with the outcomes. The
// journals are given as addresses of control ports, by region. A target that
// crashed has lost its journal, so its runs are missing.
func (l *Load) Audit(ctx context.Context, journals map[string][]netip.AddrPort) (*Audit, error) {
	runs := make(map[string][]jwstand.Run)
	for region, addresses := range journals {
		for _, address := range addresses {
			list, err := l.readJournal(ctx, address)
			if err != nil {
				return nil, errors.Wrapf(err, "read journal: %s", address)
			}
			runs[region] = append(runs[region], list...)
		}
	}
	return l.audit.compare(runs), nil
}

// readJournal reads the journal of one target from its control port.
func (l *Load) readJournal(ctx context.Context, address netip.AddrPort) ([]jwstand.Run, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/journal", nil)
	if err != nil {
		return nil, err
	}
	res, err := l.service.DoRequest(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.New(strings.TrimSpace(res.Status))
	}
	var list []jwstand.Run
	err = json.NewDecoder(res.Body).Decode(&list)
	return list, err
}
