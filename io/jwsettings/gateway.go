package jwsettings

import (
	"net/netip"
	"time"
)

// Gateway holds the settings of a node that gets its entries, targets and peers from
// the feed of the platform's store. A file with these settings needs no operators,
// claims, links or other platform services.
type Gateway struct {
	Listen      GatewayAddresses
	Store       GatewayStore
	DataCentres map[string]string // region by data centre
	Seeds       []netip.AddrPort  // addresses of some nodes' ports for nodes; they may be out of date
	Bounds      Bounds
	MemoryBytes int64   // bytes that the process may use; 0 means no limit
	Descriptors int     // file descriptors that the process may have open; 0 means unknown
	Cores       float64 // processor cores of the host; 0 means unknown
	LinkMbps    float64 // bandwidth of the host's network link; 0 means unknown
	Overload    OverloadMode
	WaitingRoom WaitingRoomMode
	Contracts   []string // names of the parts of the platform's rules that apply
}

// OverloadMode says to which services overload control applies: shares under shortage, the
// waiting room, admission by the expected end, and balance between regions.
type OverloadMode string

// The modes of overload control.
const (
	OverloadOff  OverloadMode = "off"  // to none
	OverloadAuto OverloadMode = "auto" // to services whose targets report their pace, or to all if the platform's rules ask for it
	OverloadOn   OverloadMode = "on"   // to all
)

// WaitingRoomMode says where requests under overload control wait.
type WaitingRoomMode string

// The places where requests wait.
const (
	WaitAtTarget WaitingRoomMode = "target" // in the queue of the target that was chosen when they arrived
	WaitAtNode   WaitingRoomMode = "node"   // in the node until a target has room
)

// DefaultWaitingRoom is the mode unless the settings name one.
const DefaultWaitingRoom = WaitAtNode

// Enabled reports whether overload control may apply to any service.
func (m OverloadMode) Enabled() bool { return m == OverloadAuto || m == OverloadOn }

// Capacity returns how much work the node can do for others, in hundredths of a core.
// The work needs network bandwidth in proportion, so the smaller of the two limits
// applies. It is 0 if the cores or the bandwidth are unknown.
func (g *Gateway) Capacity() int {
	const unitsPerCore, unitsPerMbps = 100, 0.5
	return int(min(unitsPerCore*g.Cores, unitsPerMbps*g.LinkMbps))
}

// MaxCallers returns how many connections of callers may be open at once: half of the descriptors. The others are left for
// targets, nodes and files. It is 0, for no limit, if their number is unknown.
func (g *Gateway) MaxCallers() int { return g.Descriptors / 2 }

// GatewayAddresses are the addresses that a node with Gateway settings listens on.
type GatewayAddresses struct {
	Callers   netip.AddrPort
	Ready     netip.AddrPort // reports whether the node is ready to serve
	Directory netip.AddrPort // lists the live nodes for callers
	Nodes     netip.AddrPort
	Metrics   netip.AddrPort // optional
}

// GatewayStore holds the address of the store and its limit on leases.
type GatewayStore struct {
	Address  netip.AddrPort
	LeaseMin time.Duration // minimum lease that the store grants
}

// Bounds are the limits that the operators of the platform set for a node.
type Bounds struct {
	Grace         time.Duration // time between SIGTERM and SIGKILL
	ConfigInForce time.Duration // time within which an accepted configuration must be in force at each node
	RetryRatio    float64       // retries allowed per request to a service
	RetrySlack    float64       // additional retries allowed per RetryWindow, over all nodes
	RetryWindow   time.Duration
	ColdRatio     float64       // requests per second sent to a cold target, for each request per second that it can take
	ColdSlack     float64       // additional requests per second, over all nodes
	QuotaWindow   time.Duration // period that the quotas of workspaces apply to
	QuotaRatio    float64       // fraction by which a quota may be exceeded per QuotaWindow, over all nodes
	QuotaSlack    float64       // additional quota units allowed per QuotaWindow, over all nodes
}

// The defaults of the bounds that a file omits.
const (
	DefaultGrace         = 8 * time.Second
	DefaultConfigInForce = 3 * time.Second
	DefaultRetryRatio    = 0.1
	DefaultRetryWindow   = 10 * time.Second
	DefaultColdRatio     = 1.0
	DefaultQuotaWindow   = 10 * time.Second
)

// readGateway reads a file that has the key gateway.
func (s *Settings) readGateway(o *object) {
	s.Gateway = &Gateway{
		DataCentres: map[string]string{}, Overload: OverloadOff, WaitingRoom: DefaultWaitingRoom,
		Bounds: Bounds{
			Grace: DefaultGrace, RetryRatio: DefaultRetryRatio, RetryWindow: DefaultRetryWindow, ColdRatio: DefaultColdRatio,
			QuotaWindow: DefaultQuotaWindow, ConfigInForce: DefaultConfigInForce,
		},
	}
	for key, dst := range map[string]*string{"node": &s.Node, "region": &s.Region, "dataCentre": &s.DataCentre} {
		o.requiredText(key, dst)
	}
	o.child("gateway", s.Gateway.read)
	if region, ok := s.Gateway.DataCentres[s.DataCentre]; s.DataCentre != "" && (!ok || region != s.Region) {
		o.fault("dataCentre", "%q is not a data centre of region %q", s.DataCentre, s.Region)
	}
}

// requiredText reads a string that must not be missing or empty.
func (o *object) requiredText(name string, dst *string) {
	if o.text(name, dst); *dst == "" {
		o.fault(name, "is missing")
	}
}

func (g *Gateway) read(o *object) {
	o.child("listen", func(c *object) {
		c.serviceAddress("callers", &g.Listen.Callers)
		c.serviceAddress("ready", &g.Listen.Ready)
		c.serviceAddress("directory", &g.Listen.Directory)
		c.serviceAddress("nodes", &g.Listen.Nodes)
		c.address("metrics", &g.Listen.Metrics)
	})
	o.child("store", func(c *object) {
		c.serviceAddress("address", &g.Store.Address)
		c.duration("leaseMin", &g.Store.LeaseMin, 0, time.Hour)
	})
	o.list("dataCentres", func(c *object) {
		name, region := "", ""
		c.requiredText("name", &name)
		c.requiredText("region", &region)
		g.DataCentres[name] = region
	})
	for _, text := range o.textList("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			o.fault("seeds", "must be IP addresses with ports, not %q", text)
			continue
		}
		g.Seeds = append(g.Seeds, a)
	}
	megabytes, descriptors := int64(0), int64(0)
	o.integer("memoryMB", &megabytes, 0, 1<<30)
	g.MemoryBytes = megabytes << 20
	o.integer("descriptors", &descriptors, 0, 1<<30)
	g.Descriptors = int(descriptors)
	o.number("cores", &g.Cores, 0, 1e6)
	o.number("linkMbps", &g.LinkMbps, 0, 1e9)
	g.readOverload(o)
	g.readWaitingRoom(o)
	g.Contracts = o.textList("contracts")
	o.child("bounds", g.Bounds.read)
}

func (g *Gateway) readOverload(o *object) {
	mode := string(g.Overload)
	o.text("overload", &mode)
	switch g.Overload = OverloadMode(mode); g.Overload {
	case OverloadOff, OverloadAuto, OverloadOn:
	default:
		o.fault("overload", "must be off, auto or on, not %q", mode)
	}
}

func (g *Gateway) readWaitingRoom(o *object) {
	mode := string(g.WaitingRoom)
	o.text("waitingRoom", &mode)
	switch g.WaitingRoom = WaitingRoomMode(mode); g.WaitingRoom {
	case WaitAtTarget, WaitAtNode:
	default:
		o.fault("waitingRoom", "must be target or node, not %q", mode)
	}
}

func (b *Bounds) read(o *object) {
	o.duration("grace", &b.Grace, 0, time.Hour)
	o.duration("configInForce", &b.ConfigInForce, time.Millisecond, time.Hour)
	o.number("retryRatio", &b.RetryRatio, 0, 100)
	o.number("retrySlack", &b.RetrySlack, 0, 1e9)
	o.duration("retryWindow", &b.RetryWindow, time.Millisecond, time.Hour)
	o.number("coldRatio", &b.ColdRatio, 0, 1000)
	o.number("coldSlack", &b.ColdSlack, 0, 1e9)
	o.duration("quotaWindow", &b.QuotaWindow, time.Millisecond, time.Hour)
	o.number("quotaRatio", &b.QuotaRatio, 0, 100)
	o.number("quotaSlack", &b.QuotaSlack, 0, 1e12)
}
