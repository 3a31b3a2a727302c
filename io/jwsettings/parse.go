package jwsettings

import (
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

const (
	minTokenLength = 16 // bytes; shorter tokens can be guessed
	maxNameLength  = 63 // characters
)

// Parse decodes and checks the text of a settings file. It opens no file, so a token
// file is not read. If the settings have faults, the error is Faults.
func Parse(data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	r := &reader{src: data}
	s := defaults()
	o := r.object("", root)
	if _, ok := o.members["gateway"]; ok {
		s.readGateway(o)
	} else {
		s.readNode(o)
	}
	o.reportUnknownKeys()
	if len(r.faults) > 0 {
		sort.SliceStable(r.faults, func(i, j int) bool {
			a, b := r.faults[i], r.faults[j]
			return a.Line < b.Line || a.Line == b.Line && a.Key < b.Key
		})
		return nil, r.faults
	}
	return s, nil
}

// readNode reads a file without the key gateway.
func (s *Settings) readNode(o *object) {
	s.readIdentity(o)
	s.readAddresses(o)
	s.readPlatform(o)
	s.readAccess(o)
	s.readNetwork(o)
	s.readTuning(o)
}

func defaults() *Settings {
	return &Settings{
		Platform: Platform{HostsPath: DefaultHostsPath},
		Periods: Periods{
			Exchange:      DefaultExchange,
			LoadPoll:      DefaultLoadPoll,
			HostsPoll:     DefaultHostsPoll,
			DirectoryPoll: DefaultDirectoryPoll,
			HostsLag:      DefaultHostsLag,
		},
		Limits:     Limits{MaxBody: DefaultMaxBody, MaxHeader: DefaultMaxHeader, MaxConnections: DefaultMaxConns},
		Claims:     Claims{KeyMemory: DefaultKeyMemory, GroupWindow: DefaultGroupWindow, Salt: DefaultSalt},
		DrainLimit: DefaultDrainLimit,
		Workers:    DefaultWorkers,
	}
}

func (s *Settings) readIdentity(o *object) {
	o.name("node", &s.Node)
	o.name("region", &s.Region)
	o.name("dataCentre", &s.DataCentre)
}

func (s *Settings) readAddresses(o *object) {
	o.child("listen", func(c *object) {
		c.readAddresses(&s.Listen)
		for _, name := range []string{"callers", "operators", "nodes"} {
			if _, ok := c.members[name]; !ok {
				c.fault(name, "is missing")
			}
		}
		c.checkDistinct(s.Listen)
	})
	s.Advertise = s.Listen
	o.child("advertise", func(c *object) {
		c.readAddresses(&s.Advertise)
		c.checkReachable("callers", s.Advertise.Callers)
		c.checkReachable("operators", s.Advertise.Operators)
		c.checkReachable("nodes", s.Advertise.Nodes)
	})
}

func (o *object) readAddresses(a *Addresses) {
	o.address("callers", &a.Callers)
	o.address("operators", &a.Operators)
	o.address("nodes", &a.Nodes)
}

// checkDistinct reports two ports that have the same address.
func (o *object) checkDistinct(a Addresses) {
	pairs := []struct {
		name string
		x, y netip.AddrPort
	}{
		{"operators", a.Callers, a.Operators},
		{"nodes", a.Callers, a.Nodes},
		{"nodes", a.Operators, a.Nodes},
	}
	for _, p := range pairs {
		if p.x.Port() != 0 && p.x == p.y {
			o.fault(p.name, "%s is used twice", p.x)
		}
	}
}

// checkReachable reports an advertised address that other hosts cannot connect to.
func (o *object) checkReachable(name string, a netip.AddrPort) {
	if a.IsValid() && a.Addr().IsUnspecified() {
		o.fault(name, "others cannot reach %s; give the address they use", a)
	}
}

func (s *Settings) readPlatform(o *object) {
	o.child("platform", func(c *object) {
		c.serviceAddress("keyValue", &s.Platform.KeyValue)
		c.serviceAddress("hosts", &s.Platform.Hosts)
		c.serviceAddress("directory", &s.Platform.Directory)
		c.text("hostsPath", &s.Platform.HostsPath)
		if !strings.HasPrefix(s.Platform.HostsPath, "/") {
			c.fault("hostsPath", "must begin with /")
		}
	})
}

// serviceAddress reads an address that is required and must have a port and an IP address that
// can be connected to.
func (o *object) serviceAddress(name string, dst *netip.AddrPort) {
	before := len(o.r.faults)
	o.address(name, dst)
	switch {
	case len(o.r.faults) > before:
	case !dst.IsValid():
		o.fault(name, "is missing")
	case dst.Port() == 0 || dst.Addr().IsUnspecified():
		o.fault(name, "nothing can be reached at %s", *dst)
	}
}

func (s *Settings) readAccess(o *object) {
	o.child("operators", func(c *object) {
		c.text("token", &s.Operators.Token)
		c.text("tokenFile", &s.Operators.TokenFile)
		hasToken, hasFile := s.Operators.Token != "", s.Operators.TokenFile != ""
		switch {
		case hasToken == hasFile:
			c.fault("token", "give either token or tokenFile")
		case hasToken && len(s.Operators.Token) < minTokenLength:
			c.fault("token", "shorter than %d bytes", minTokenLength)
		}
	})
	o.child("tls", func(c *object) {
		c.readKeyFiles("callers", &s.TLS.Callers, false)
		c.readKeyFiles("operators", &s.TLS.Operators, false)
		c.readKeyFiles("nodes", &s.TLS.Nodes, true)
	})
}

func (o *object) readKeyFiles(name string, k *KeyFiles, mutualTLS bool) {
	if _, ok := o.value(name); !ok {
		return
	}
	o.child(name, func(c *object) {
		c.filePath("certificate", &k.Certificate)
		c.filePath("key", &k.Key)
		if mutualTLS {
			c.filePath("authority", &k.Authority)
		}
	})
}

// filePath reads the required path of a file.
func (o *object) filePath(name string, dst *string) {
	o.text(name, dst)
	if *dst == "" {
		o.fault(name, "is missing")
	}
}

func (s *Settings) readNetwork(o *object) {
	s.readRegions(o)
	knownRegions := map[string]bool{}
	for _, r := range s.Regions {
		knownRegions[r.Name] = true
	}
	switch {
	case s.Region == "" || s.DataCentre == "":
	case !knownRegions[s.Region]:
		o.fault("region", "%q is not among regions", s.Region)
	case s.RegionOf(s.DataCentre) != s.Region:
		o.fault("dataCentre", "%q is not a data centre of region %q", s.DataCentre, s.Region)
	}
	s.readLinks(o, knownRegions)
	s.readSeeds(o)
}

func (s *Settings) readSeeds(o *object) {
	o.list("seeds", func(c *object) {
		var seed Seed
		c.name("node", &seed.Node)
		c.address("address", &seed.Address)
		if !seed.Address.IsValid() || seed.Address.Port() == 0 {
			c.fault("address", "must name the port for nodes of a node")
		}
		s.Seeds = append(s.Seeds, seed)
	})
}

func (s *Settings) readRegions(o *object) {
	if _, ok := o.value("regions"); !ok {
		o.fault("regions", "is missing")
	}
	regions, regionOf := map[string]bool{}, map[string]string{}
	o.list("regions", func(c *object) {
		var r Region
		c.name("name", &r.Name)
		r.DataCentres = c.textList("dataCentres")
		if regions[r.Name] {
			c.fault("name", "region %q is given twice", r.Name)
		}
		regions[r.Name] = true
		if len(r.DataCentres) == 0 {
			c.fault("dataCentres", "names no data centre")
		}
		for _, d := range r.DataCentres {
			if problem := nameProblem(d); problem != "" {
				c.fault("dataCentres", "%q: %s", d, problem)
			}
			if other, ok := regionOf[d]; ok {
				c.fault("dataCentres", "%q already belongs to region %q", d, other)
			}
			regionOf[d] = r.Name
		}
		s.Regions = append(s.Regions, r)
	})
}

func (s *Settings) readLinks(o *object, knownRegions map[string]bool) {
	seen := map[[2]string]bool{}
	o.list("links", func(c *object) {
		l := Link{Delay: DefaultLinkDelay, CostPerGB: DefaultLinkCost}
		c.text("from", &l.From)
		c.text("to", &l.To)
		c.duration("delay", &l.Delay, 0, 10*time.Second)
		c.number("costPerGB", &l.CostPerGB, 0, 1e6)
		for name, region := range map[string]string{"from": l.From, "to": l.To} {
			if !knownRegions[region] {
				c.fault(name, "%q is not among regions", region)
			}
		}
		if l.From == l.To {
			c.fault("to", "a link joins two regions")
		}
		pair := [2]string{l.From, l.To}
		if seen[pair] {
			c.fault("from", "the link from %q to %q is given twice", l.From, l.To)
		}
		seen[pair] = true
		s.Links = append(s.Links, l)
	})
}

func (s *Settings) readTuning(o *object) {
	o.child("periods", func(c *object) {
		c.duration("exchange", &s.Periods.Exchange, 50*time.Millisecond, time.Minute)
		c.duration("loadPoll", &s.Periods.LoadPoll, 50*time.Millisecond, time.Minute)
		c.duration("hostsPoll", &s.Periods.HostsPoll, 100*time.Millisecond, 10*time.Minute)
		c.duration("directoryPoll", &s.Periods.DirectoryPoll, 100*time.Millisecond, time.Hour)
		c.duration("hostsLag", &s.Periods.HostsLag, 0, time.Hour)
	})
	o.child("limits", func(c *object) {
		maxHeader := int64(s.Limits.MaxHeader)
		c.integer("maxBody", &s.Limits.MaxBody, 1, 1<<30)
		c.integer("maxHeader", &maxHeader, 1<<10, 1<<20)
		s.Limits.MaxHeader = int(maxHeader)
		maxConnections := int64(s.Limits.MaxConnections)
		c.integer("maxConnections", &maxConnections, 16, 1<<20)
		s.Limits.MaxConnections = int(maxConnections)
	})
	o.child("claims", func(c *object) {
		c.duration("keyMemory", &s.Claims.KeyMemory, time.Minute, 7*24*time.Hour)
		c.duration("groupWindow", &s.Claims.GroupWindow, 0, time.Second)
		c.text("salt", &s.Claims.Salt)
		if s.Claims.Salt == "" {
			c.fault("salt", "is empty")
		}
	})
	o.duration("drainLimit", &s.DrainLimit, time.Second, 24*time.Hour)
	workers := int64(s.Workers)
	o.integer("workers", &workers, 1, 1024)
	s.Workers = int(workers)
}

// nameProblem returns what is wrong with a name, or "" if it is valid.
func nameProblem(name string) string {
	if name == "" {
		return "is missing"
	}
	if len(name) > maxNameLength {
		return "longer than " + strconv.Itoa(maxNameLength) + " characters"
	}
	for _, c := range name {
		ok := c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.'
		if !ok {
			return "may hold only a-z, 0-9, - and ."
		}
	}
	return ""
}
