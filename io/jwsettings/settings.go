package jwsettings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Settings are what a node knows before it talks to anyone.
type Settings struct {
	Node       string // unique name of the node
	Region     string
	DataCentre string
	Listen     Addresses // where the node opens its ports; port 0 takes a free one
	Advertise  Addresses // what others are told; as Listen where it is invalid
	Platform   Platform
	Operators  Operators
	TLS        TLS
	Regions    []Region
	Links      []Link
	Seeds      []Seed // nodes of the region to ask while the host list can't be had
	Periods    Periods
	Limits     Limits
	Claims     Claims
	DrainLimit time.Duration // longest wait for requests in flight at a planned stop
	Gateway    *Gateway      // set where the node serves by the feed of a store
	Workers    int           // goroutines of the pool that serves control work
}

// Addresses are the three ports of a node.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Nodes     netip.AddrPort
}

// Platform tells where the platform's services answer over HTTP.
type Platform struct {
	KeyValue  netip.AddrPort
	Hosts     netip.AddrPort
	HostsPath string // URL path of the host list
	Directory netip.AddrPort
}

// Operators tells who may use the operators' port.
type Operators struct {
	Token     string // bearer token
	TokenFile string // file that Load reads the token from
}

// TLS names the certificate files of each port; a port without them is plain.
type TLS struct {
	Callers   KeyFiles
	Operators KeyFiles
	Nodes     KeyFiles // both ends of a connection between nodes show theirs
}

// KeyFiles are PEM files.
type KeyFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates that sign the other end's; nodes only
}

// Set tells whether the files are named.
func (k KeyFiles) Set() bool { return k.Certificate != "" }

// Region is one region with its data centres.
type Region struct {
	Name        string
	DataCentres []string
}

// Seed is a node of the own region that a starting node may ask when the
// platform can't be reached.
type Seed struct {
	Node    string
	Address netip.AddrPort // of its port for nodes
}

// Link describes the network from one region to another.
type Link struct {
	From      string
	To        string
	Delay     time.Duration // one way
	CostPerGB float64       // price of sending 1e9 bytes
}

// Periods are the clocks of a node's control work.
type Periods struct {
	Exchange      time.Duration // between two exchanges with peers
	LoadPoll      time.Duration // between two readings of a target's load
	HostsPoll     time.Duration // between two readings of the host list
	DirectoryPoll time.Duration // between two readings of the client directory
	HostsLag      time.Duration // how far the host list may be behind the truth
}

// Limits bound what one caller's request may hold.
type Limits struct {
	MaxBody   int64 // bytes of a request's body
	MaxHeader int   // bytes of a request's header
	// MaxConnections bounds the callers' connections open at once.
	MaxConnections int
}

// Claims say how idempotency keys are kept.
type Claims struct {
	KeyMemory   time.Duration // how long a key is remembered
	GroupWindow time.Duration // how long a claim waits for others to share its write
	// Salt is hashed with each key before it is written. It is the same at all
	// nodes and stays the same while keys are remembered: a node with another
	// one would not know a key again and run its request twice.
	Salt string
}

// The values of keys that a file leaves out.
const (
	DefaultHostsPath     = "/hosts"
	DefaultExchange      = 500 * time.Millisecond
	DefaultLoadPoll      = 500 * time.Millisecond
	DefaultHostsPoll     = time.Second
	DefaultDirectoryPoll = 30 * time.Second
	DefaultHostsLag      = 30 * time.Second
	DefaultMaxBody       = 8 << 20
	DefaultMaxHeader     = 32 << 10
	DefaultMaxConns      = 8192
	DefaultKeyMemory     = 24 * time.Hour
	DefaultGroupWindow   = 100 * time.Millisecond // the first claim after a quiet one doesn't wait
	DefaultSalt          = "jujubewheel"
	DefaultDrainLimit    = 10 * time.Minute
	DefaultWorkers       = 4
	DefaultLinkDelay     = 100 * time.Millisecond
	DefaultLinkCost      = 0.02
)

// Load reads and checks a file and the token file it names; relative paths in
// it start at its own directory. A file with faults gives a Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	s.resolve(filepath.Dir(path))
	if s.Operators.TokenFile == "" {
		return s, nil
	}
	token, err := os.ReadFile(s.Operators.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operators.tokenFile")
	}
	s.Operators.Token = strings.TrimSpace(string(token))
	if len(s.Operators.Token) < minToken {
		return nil, errors.Errorf("operators.tokenFile: %s: shorter than %d bytes", s.Operators.TokenFile, minToken)
	}
	return s, nil
}

// resolve makes the paths of named files independent of the working directory.
func (s *Settings) resolve(dir string) {
	paths := []*string{&s.Operators.TokenFile}
	for _, k := range []*KeyFiles{&s.TLS.Callers, &s.TLS.Operators, &s.TLS.Nodes} {
		paths = append(paths, &k.Certificate, &k.Key, &k.Authority)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// Link returns the network from one region to another. A link written for one
// direction only holds for both; one that is not written has the defaults.
func (s *Settings) Link(from, to string) Link {
	if from == to {
		return Link{From: from, To: to}
	}
	found := Link{From: from, To: to, Delay: DefaultLinkDelay, CostPerGB: DefaultLinkCost}
	for _, l := range s.Links {
		if l.From == from && l.To == to {
			return l
		}
		if l.From == to && l.To == from {
			found.Delay, found.CostPerGB = l.Delay, l.CostPerGB
		}
	}
	return found
}

// RegionOf returns the region of a data centre, empty for an unknown one.
func (s *Settings) RegionOf(dataCentre string) string {
	for _, r := range s.Regions {
		for _, d := range r.DataCentres {
			if d == dataCentre {
				return r.Name
			}
		}
	}
	return ""
}
