package jwgateway

import (
	"math"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwbalance"
	"jujubewheel/io/jwmeter"
)

const (
	// minShareChange is the change of a share from which on it is logged.
	minShareChange = 0.1
	// shareLogInterval is the shortest time between two log lines about the same share.
	shareLogInterval = time.Second
)

// pairKey identifies a class of requests of a service and another region.
type pairKey struct {
	service string
	class   jwbalance.Class
	region  string
}

// shareReport reports the shares that are sent to other regions. It is used by
// exchangeRegionLoads only.
type shareReport struct {
	meter  *jwmeter.Meter
	logged map[pairKey]loggedShare
	gauges map[pairKey]tally.Gauge
	ages   map[string]tally.Gauge
}

// loggedShare is a share that was logged last.
type loggedShare struct {
	part float64
	at   time.Time
}

// reportShares updates the gauges of the shares and of the ages of what is known of other regions.
// The node that exchanges loads for the region also logs a share that has changed much.
func (g *Gateway) reportShares(now time.Time, r *shareReport) {
	known := g.balance.Regions(now, math.MaxInt64, false)
	for _, o := range known {
		r.age(o.Region).Update(float64(o.AgeMS) / 1000)
	}
	for _, service := range g.balancedServices() {
		p := g.plan(now, service)
		for class, shares := range p.Shares {
			parts := make(map[string]jwbalance.Share)
			for _, s := range shares {
				parts[s.Region] = s
			}
			for _, o := range known {
				g.reportShare(now, r, pairKey{service, class, o.Region}, p, parts[o.Region])
			}
		}
		for k := range r.gauges {
			if _, ok := p.Shares[k.class]; k.service == service && !ok {
				g.reportShare(now, r, k, p, jwbalance.Share{})
			}
		}
	}
}

// reportShare reports the share of a class of a service that is sent to one region.
func (g *Gateway) reportShare(now time.Time, r *shareReport, k pairKey, p jwbalance.Plan, s jwbalance.Share) {
	r.gauge(k).Update(s.Part)
	old := r.logged[k]
	if now.Sub(old.at) < shareLogInterval || math.Abs(s.Part-old.part) < minShareChange && (s.Part == 0) == (old.part == 0) {
		return
	}
	r.logged[k] = loggedShare{s.Part, now}
	if g.exchangesLoads(now) {
		g.Log.Info("share of another region changed", "service", k.service, "homes", string(k.class), "region", k.region, "share", s.Part, "before", old.part,
			"utilization", p.Before, "planned", p.After, "mean", p.Level, "ageMs", s.Age.Milliseconds())
	}
}

func (r *shareReport) gauge(k pairKey) tally.Gauge {
	if r.gauges[k] == nil {
		r.gauges[k] = r.meter.Gauge("region_share", jwmeter.Tags{"service": k.service, "homes": string(k.class), "region": k.region})
	}
	return r.gauges[k]
}

func (r *shareReport) age(region string) tally.Gauge {
	if r.ages[region] == nil {
		r.ages[region] = r.meter.Gauge("region_load_age_seconds", jwmeter.Tags{"region": region})
	}
	return r.ages[region]
}
