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

// Result holds the measurements of a trial. Latencies are in milliseconds.
type Result struct {
	Deployment    string        `json:"deployment"`         // name of the deployment
	Load          float64       `json:"load"`               // share of Deployment.Capacity
	Fault         Fault         `json:"fault"`              // fault that was applied
	Seed          uint64        `json:"seed"`               // seed of the load
	Rate          float64       `json:"rate"`               // requests per second
	Nodes         int           `json:"nodes"`              // in all regions
	Report        jwload.Report `json:"report"`             // results of the main load
	Bursts        []jwload.Line `json:"bursts,omitempty"`   // results of the burst's own load
	Poisoned      int           `json:"poisoned,omitempty"` // number of sends of the poison request before it was quarantined
	Cost          float64       `json:"cost"`               // runner-seconds per answer in time, including the cost of requests sent away
	RunnerSeconds float64       `json:"runnerSeconds"`      // time for which slots were held, divided by the slots of a runner
	LinkBytes     float64       `json:"linkBytes"`          // bytes sent between regions
	LinkPrice     float64       `json:"linkPrice"`          // cost of LinkBytes
	Generated     uint64        `json:"generated"`          // tokens generated
	Saved         int64         `json:"saved"`              // tokens requested but not generated, since their call ended early
	Cached        float64       `json:"cached"`             // share of prompt tokens that were cached
	Tries         float64       `json:"tries"`              // first tries at all nodes
	Retries       float64       `json:"retries"`            // retries at all nodes
	OverBudget    float64       `json:"overBudget"`         // retries that the retry budget rejected
	ReasonsSeen   []ReasonCount `json:"reasons"`            // most frequent first
}

// ReasonCount counts the requests that nodes ended for one reason.
type ReasonCount struct {
	Reason jwdispatch.Reason `json:"reason"`
	Count  float64           `json:"count"`
}

// RetryShare returns the number of retries per first try.
func (r Result) RetryShare() float64 { return r.Retries / max(r.Tries, 1) }

// countedReasons are the reasons for which a request of the load may not be
// served.
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

// Write writes the result as text for people.
func (r Result) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %.2f of the capacity (%.0f requests/s), fault %s, seed %d, %d nodes\n",
		r.Deployment, r.Load, r.Rate, r.Fault, r.Seed, r.Nodes)
	fmt.Fprintf(&b, "cost %.3f runner-seconds per answer in time (runners in use for %.1f s; links %.0f kB, cost %.6f)\n",
		r.Cost, r.RunnerSeconds, r.LinkBytes/1000, r.LinkPrice)
	fmt.Fprintf(&b, "tokens: %d generated, %d requested but not generated, %.0f%% of prompt tokens cached\n", r.Generated, r.Saved, 100*r.Cached)
	fmt.Fprintf(&b, "nodes: %.0f first tries, %.0f retries (%.1f%%), %.0f over the retry budget; reasons for requests not served: %v\n",
		r.Tries, r.Retries, 100*r.RetryShare(), r.OverBudget, r.ReasonsSeen)
	if r.Poisoned > 0 {
		fmt.Fprintf(&b, "the poison request was sent %d times before it was quarantined\n", r.Poisoned)
	}
	for _, l := range r.Bursts {
		if l.Entry == "" {
			fmt.Fprintf(&b, "burst, owner %s: %d sent, %d in time, %d not run\n", l.Owner, l.Sent, l.InTime, l.NotRun)
		}
	}
	for _, l := range r.Report.Lines {
		if l.Entry != "" && l.Served > 0 {
			fmt.Fprintf(&b, "%s: %.1f%% in time, %.2f%% of those served were sent to another region\n",
				l.Entry, 100*float64(l.InTime)/float64(l.Sent), 100*float64(l.Away)/float64(l.Served))
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return r.Report.WriteTable(w)
}
