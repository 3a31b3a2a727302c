package jwfleet

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/io/jwload"
	"jujubewheel/io/jwmeter"
)

// Result is what came of a trial. Latencies are in milliseconds.
type Result struct {
	Deployment    string        `json:"deployment"`
	Load          float64       `json:"load"` // share of the capacity
	Fault         Fault         `json:"fault"`
	Seed          uint64        `json:"seed"`
	Rate          float64       `json:"rate"` // requests a second
	Nodes         int           `json:"nodes"`
	Report        jwload.Report `json:"report"`
	Bursts        []jwload.Line `json:"bursts,omitempty"`   // the burster's own
	Poisoned      int           `json:"poisoned,omitempty"` // sends of the poison request
	Cost          float64       `json:"cost"`               // runner-seconds for an answer in time, links included
	RunnerSeconds float64       `json:"runnerSeconds"`
	LinkBytes     float64       `json:"linkBytes"`
	LinkPrice     float64       `json:"linkPrice"`
	Generated     uint64        `json:"generated"` // tokens
	Saved         int64         `json:"saved"`     // tokens asked for and not generated, since their call ended
	Cached        float64       `json:"cached"`    // share of prompt tokens
	Tries         float64       `json:"tries"`     // first ones, at all nodes
	Retries       float64       `json:"retries"`
	OverBudget    float64       `json:"overBudget"` // retries that the budget refused
	ReasonsSeen   []ReasonCount `json:"reasons"`
}

// ReasonCount counts the requests that nodes ended for one reason.
type ReasonCount struct {
	Reason jwdispatch.Reason `json:"reason"`
	Count  float64           `json:"count"`
}

// RetryShare is the retries of the nodes for each first try.
func (r Result) RetryShare() float64 { return r.Retries / max(r.Tries, 1) }

// countedReasons are those for which a request of the load may not be served.
var countedReasons = []jwdispatch.Reason{
	jwdispatch.ReasonClaim, jwdispatch.ReasonRegion, jwdispatch.ReasonLoop, jwdispatch.ReasonLimit,
	jwdispatch.ReasonDeadline, jwdispatch.ReasonNoTarget, jwdispatch.ReasonTarget, jwdispatch.ReasonPeer,
	jwdispatch.ReasonQuarantine, jwdispatch.ReasonCaller, jwdispatch.ReasonDirectory,
}

// countReasons counts why requests were not served, most frequent first.
func (f *fleet) countReasons() []ReasonCount {
	var list []ReasonCount
	for _, reason := range countedReasons {
		n := f.sumCounter("requests_total", jwmeter.Tags{"reason": string(reason)})
		if n > 0 {
			list = append(list, ReasonCount{reason, n})
		}
	}
	slices.SortFunc(list, func(a, b ReasonCount) int { return int(b.Count - a.Count) })
	return list
}

// Write writes the result for people.
func (r Result) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %.2f of the capacity (%.0f requests/s), fault %s, seed %d, %d nodes\n",
		r.Deployment, r.Load, r.Rate, r.Fault, r.Seed, r.Nodes)
	fmt.Fprintf(&b, "cost %.3f runner-seconds for an answer in time (runners %.1f s; links %.0f kB, price %.6f)\n",
		r.Cost, r.RunnerSeconds, r.LinkBytes/1000, r.LinkPrice)
	fmt.Fprintf(&b, "tokens: %d generated, %d spared, %.0f%% of prompts cached\n", r.Generated, r.Saved, 100*r.Cached)
	fmt.Fprintf(&b, "nodes: %.0f first tries, %.0f retries (%.1f%%), %.0f over budget; ended for %v\n",
		r.Tries, r.Retries, 100*r.RetryShare(), r.OverBudget, r.ReasonsSeen)
	if r.Poisoned > 0 {
		fmt.Fprintf(&b, "the poison request was sent %d times before it was refused for good\n", r.Poisoned)
	}
	for _, l := range r.Bursts {
		if l.Entry == "" {
			fmt.Fprintf(&b, "burst, owner %s: %d sent, %d in time, %d not run\n", l.Owner, l.Sent, l.InTime, l.NotRun)
		}
	}
	for _, l := range r.Report.Lines {
		if l.Entry != "" && l.Served > 0 {
			fmt.Fprintf(&b, "%s: %.1f%% in time, %.2f%% of the served sent away\n",
				l.Entry, 100*float64(l.InTime)/float64(l.Sent), 100*float64(l.Away)/float64(l.Served))
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return r.Report.WriteTable(w)
}
