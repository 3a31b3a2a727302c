package jwsettings

import (
	"net/netip"
	"time"
)

// Gateway are the settings of a node that takes its entries, targets and peers
// from the feed of the platform's store. A file that has them needs no
// operators, claims, links or other platform services.
type Gateway struct {
	Listen      GatewayAddresses
	Store       GatewayStore
	DataCentres map[string]string // region by data centre
	Seeds       []netip.AddrPort  // ports for nodes of some nodes; they may be stale
	Bounds      Bounds
	Memory      int64   // bytes that the process may use, 0 if not bounded
	Cores       float64 // of the processor that the host has, 0 if not known
	LinkMbps    float64 // of the host's link, 0 if not known
}

// Capacity returns what the host can do of the work that a node does for others, in
// hundredths of a core: what it needs of its link goes along with that. It is 0 where
// neither is known.
func (g *Gateway) Capacity() int {
	const coreShare, linkShare = 100, 0.5
	return int(min(coreShare*g.Cores, linkShare*g.LinkMbps))
}

// GatewayAddresses are the ports of such a node.
type GatewayAddresses struct {
	Callers   netip.AddrPort
	Ready     netip.AddrPort // tells whether the node serves
	Directory netip.AddrPort // names live nodes to callers
	Nodes     netip.AddrPort
	Metrics   netip.AddrPort // optional
}

// GatewayStore tells where the store is and what it asks for.
type GatewayStore struct {
	Address  netip.AddrPort
	LeaseMin time.Duration // the shortest lease it gives
}

// Bounds are what the operators of the platform hold the node to.
type Bounds struct {
	Grace       time.Duration // from SIGTERM to SIGKILL
	RetryRatio  float64       // repeated sends for each request of a service
	RetrySlack  float64       // repeated sends in a window besides, over all nodes
	RetryWindow time.Duration
	ColdRatio   float64       // requests a second to a cold target, for each that it takes
	ColdSlack   float64       // and besides, over all nodes
	QuotaWindow time.Duration // the span that quotas of workspaces hold for
	QuotaRatio  float64       // part of a quota that may be exceeded in it, over all nodes
	QuotaSlack  float64       // units besides
}

// The values of bounds that a file leaves out.
const (
	DefaultGrace       = 8 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetryWindow = 10 * time.Second
	DefaultColdRatio   = 1.0
	DefaultQuotaWindow = 10 * time.Second
)

// readGateway reads the whole of a file that has the key gateway.
func (s *Settings) readGateway(o *object) {
	s.Gateway = &Gateway{
		DataCentres: map[string]string{},
		Bounds: Bounds{
			Grace: DefaultGrace, RetryRatio: DefaultRetryRatio, RetryWindow: DefaultRetryWindow, ColdRatio: DefaultColdRatio,
			QuotaWindow: DefaultQuotaWindow,
		},
	}
	for key, into := range map[string]*string{"node": &s.Node, "region": &s.Region, "dataCentre": &s.DataCentre} {
		o.required(key, into)
	}
	o.child("gateway", s.Gateway.read)
	if region, ok := s.Gateway.DataCentres[s.DataCentre]; s.DataCentre != "" && (!ok || region != s.Region) {
		o.fault("dataCentre", "%q is not a data centre of region %q", s.DataCentre, s.Region)
	}
}

// required reads a string that must be there.
func (o *object) required(name string, into *string) {
	if o.text(name, into); *into == "" {
		o.fault(name, "is missing")
	}
}

func (g *Gateway) read(o *object) {
	o.child("listen", func(c *object) {
		c.service("callers", &g.Listen.Callers)
		c.service("ready", &g.Listen.Ready)
		c.service("directory", &g.Listen.Directory)
		c.service("nodes", &g.Listen.Nodes)
		c.address("metrics", &g.Listen.Metrics)
	})
	o.child("store", func(c *object) {
		c.service("address", &g.Store.Address)
		c.duration("leaseMin", &g.Store.LeaseMin, 0, time.Hour)
	})
	o.list("dataCentres", func(c *object) {
		name, region := "", ""
		c.required("name", &name)
		c.required("region", &region)
		g.DataCentres[name] = region
	})
	for _, text := range o.texts("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			o.fault("seeds", "must be IP addresses with ports, not %q", text)
			continue
		}
		g.Seeds = append(g.Seeds, a)
	}
	megabytes := int64(0)
	o.integer("memoryMB", &megabytes, 0, 1<<30)
	g.Memory = megabytes << 20
	o.number("cores", &g.Cores, 0, 1e6)
	o.number("linkMbps", &g.LinkMbps, 0, 1e9)
	o.child("bounds", g.Bounds.read)
}

func (b *Bounds) read(o *object) {
	o.duration("grace", &b.Grace, 0, time.Hour)
	o.number("retryRatio", &b.RetryRatio, 0, 100)
	o.number("retrySlack", &b.RetrySlack, 0, 1e9)
	o.duration("retryWindow", &b.RetryWindow, time.Millisecond, time.Hour)
	o.number("coldRatio", &b.ColdRatio, 0, 1000)
	o.number("coldSlack", &b.ColdSlack, 0, 1e9)
	o.duration("quotaWindow", &b.QuotaWindow, time.Millisecond, time.Hour)
	o.number("quotaRatio", &b.QuotaRatio, 0, 100)
	o.number("quotaSlack", &b.QuotaSlack, 0, 1e12)
}
