package jwgateway

import (
	"math"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwbalance"
	"jujubewheel/io/jwmeter"
)

// minShareChange is the change of a share from which on it is logged.
const minShareChange = 0.1

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
	logged map[pairKey]float64
	gauges map[pairKey]tally.Gauge
	ages   map[string]tally.Gauge
}

// reportShares updates the gauges of the shares and of the ages of what is known of other regions.
// The node that exchanges loads for the region also logs a share that has changed much.
func (g *Gateway) reportShares(now time.Time, r *shareReport) {
	known := g.balance.Regions(now, math.MaxInt64, false)
	for _, o := range known {
		r.age(o.Region).Update(float64(o.AgeMS) / 1000)
	}
	c := g.entries.Current()
	if c == nil {
		return
	}
	for service := range c.Services {
		if !g.controlsOverload(service) {
			continue
		}
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
	}
}

// reportShare reports the share of a class of a service that is sent to one region.
func (g *Gateway) reportShare(now time.Time, r *shareReport, k pairKey, p jwbalance.Plan, s jwbalance.Share) {
	r.gauge(k).Update(s.Part)
	old := r.logged[k]
	if math.Abs(s.Part-old) < minShareChange && (s.Part == 0) == (old == 0) {
		return
	}
	r.logged[k] = s.Part
	if g.speaksForRegion(now) {
		g.Log.Info("share of another region changed", "service", k.service, "homes", string(k.class), "region", k.region, "share", s.Part, "before", old,
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
