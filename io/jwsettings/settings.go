package jwsettings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Settings are the settings of one node. Parse and Load return them with the defaults
// of all keys that the file omits.
type Settings struct {
	Node       string // unique name of the node
	Region     string
	DataCentre string
	Listen     Addresses // addresses that the node listens on; port 0 takes a free port
	Advertise  Addresses // addresses that callers and other nodes are given; those of Listen by default
	Platform   Platform
	Operators  Operators
	TLS        TLS
	Regions    []Region
	Links      []Link
	Seeds      []Seed // nodes of the own region to ask while the host list can't be read
	Periods    Periods
	Limits     Limits
	Claims     Claims
	DrainLimit time.Duration // maximum wait for requests in flight at a planned stop
	Gateway    *Gateway      // set if the node gets its entries, targets and peers from the feed of a store
	Workers    int           // number of goroutines in the pool for control work
}

// Addresses are the addresses of a node's three ports.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Nodes     netip.AddrPort
}

// Platform holds the HTTP addresses of the platform's services.
type Platform struct {
	KeyValue  netip.AddrPort
	Hosts     netip.AddrPort
	HostsPath string // URL path of the host list
	Directory netip.AddrPort
}

// Operators holds the credentials that the operators' port requires.
type Operators struct {
	Token     string // bearer token
	TokenFile string // path of the file that Load reads the token from
}

// TLS holds the certificate files of each port. A port without files does not use TLS.
type TLS struct {
	Callers   KeyFiles
	Operators KeyFiles
	Nodes     KeyFiles // connections between nodes use mutual TLS
}

// KeyFiles are the paths of the PEM files for one port.
type KeyFiles struct {
	Certificate string
	Key         string
	Authority   string // CA certificates that verify the peer's certificate; only for Nodes
}

// Set reports whether a certificate file is named.
func (k KeyFiles) Set() bool { return k.Certificate != "" }

// Region is one region with its data centres.
type Region struct {
	Name        string
	DataCentres []string
}

// Seed is a node of the own region that a starting node may ask while the platform
// can't be reached.
type Seed struct {
	Node    string
	Address netip.AddrPort // address of its port for nodes
}

// Link describes the network connection from one region to another.
type Link struct {
	From      string
	To        string
	Delay     time.Duration // one-way network delay
	CostPerGB float64       // price of sending 1e9 bytes
}

// Periods are the intervals of a node's periodic work.
type Periods struct {
	Exchange      time.Duration // between two state exchanges with peers
	LoadPoll      time.Duration // between two readings of a target's load
	HostsPoll     time.Duration // between two readings of the host list
	DirectoryPoll time.Duration // between two readings of the client directory
	HostsLag      time.Duration // how far the host list may lag behind the actual hosts
}

// Limits bound the size of callers' requests and the number of their connections.
type Limits struct {
	MaxBody   int64 // bytes in the body of a request
	MaxHeader int   // bytes in the header of a request
	// MaxConnections is the maximum number of open connections from callers.
	MaxConnections int
}

// Claims configures how claims of idempotency keys are written and remembered.
type Claims struct {
	KeyMemory   time.Duration // how long a key is remembered
	GroupWindow time.Duration // how long a claim waits for other claims to be written with it
	// Salt is hashed with each key before the key is written. It must be the same
	// at all nodes and must not change while keys are remembered: a node with
	// another salt would not recognise a key and would run its request twice.
	Salt string
}

// The defaults of keys that a file omits.
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
	DefaultGroupWindow   = 100 * time.Millisecond // the first claim after an idle period doesn't wait
	DefaultSalt          = "jujubewheel"
	DefaultDrainLimit    = 10 * time.Minute
	DefaultWorkers       = 4
	DefaultLinkDelay     = 100 * time.Millisecond
	DefaultLinkCost      = 0.02
)

// Load reads and checks a settings file and reads the token file that it names.
// Relative paths in the file are relative to its directory. If the file has faults, the
// error wraps Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	s.resolvePaths(filepath.Dir(path))
	if s.Operators.TokenFile == "" {
		return s, nil
	}
	token, err := os.ReadFile(s.Operators.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operators.tokenFile")
	}
	s.Operators.Token = strings.TrimSpace(string(token))
	if len(s.Operators.Token) < minTokenLength {
		return nil, errors.Errorf("operators.tokenFile: %s: shorter than %d bytes", s.Operators.TokenFile, minTokenLength)
	}
	return s, nil
}

// resolvePaths makes relative paths of files independent of the working directory; they are
// relative to dir.
func (s *Settings) resolvePaths(dir string) {
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

// Link returns the network connection from one region to another. A link that the file
// gives for only one direction holds for both; one that it omits has the defaults. The
// link of a region to itself has no delay and no cost.
func (s *Settings) Link(from, to string) Link {
	if from == to {
		return Link{From: from, To: to}
	}
	link := Link{From: from, To: to, Delay: DefaultLinkDelay, CostPerGB: DefaultLinkCost}
	for _, l := range s.Links {
		if l.From == from && l.To == to {
			return l
		}
		if l.From == to && l.To == from {
			link.Delay, link.CostPerGB = l.Delay, l.CostPerGB
		}
	}
	return link
}

// RegionOf returns the region of a data centre, or "" if the data centre is unknown.
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
