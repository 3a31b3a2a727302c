package jwconsul

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwhost"
)

// DefaultHostsPath is where the list of hosts is asked for by default.
const DefaultHostsPath = "/hosts"

// liveState is the state of a host that takes work; without one it is live.
const liveState = "live"

// HostList reads the platform's list of live and leaving hosts, which is a
// Prometheus HTTP service discovery document.
type HostList struct {
	Address netip.AddrPort
	Path    string        // empty means DefaultHostsPath
	Timeout time.Duration // 0 means 2s

	client client
	calls  atomic.Uint64
	mu     sync.Mutex
	tag    string // ETag of the last list
	last   []jwhost.Host
}

// Calls returns the number of calls sent so far.
func (l *HostList) Calls() uint64 { return l.calls.Load() }

// Traffic returns the bytes moved so far.
func (l *HostList) Traffic() Traffic { return l.client.traffic() }

// Hosts returns the list as it is now, without hosts of other roles than
// nodes and targets; a state that is not known counts as leaving. A host that
// lacks an address or a region makes the whole list an error, since a list
// that is taken in half would look like hosts that are gone. An unchanged list
// is not sent again where the platform knows ETags; callers share the slice
// and must not change it.
func (l *HostList) Hosts(ctx context.Context) ([]jwhost.Host, error) {
	l.calls.Add(1)
	ctx, cancel := withTimeout(ctx, l.Timeout)
	defer cancel()
	path := l.Path
	if path == "" {
		path = DefaultHostsPath
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address.String()+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	tag, last := l.known()
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	res, err := l.client.do("hostList", l.Address, r)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	body, err := readAnswer(res)
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	case res.StatusCode == http.StatusNotModified && tag != "":
		return last, nil
	case res.StatusCode != http.StatusOK:
		return nil, errors.Errorf("host list: %s: %s", l.Address, res.Status)
	}
	hosts, err := decodeHosts(body)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	l.remember(res.Header.Get("ETag"), hosts)
	return hosts, nil
}

func (l *HostList) known() (tag string, last []jwhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.last
}

func (l *HostList) remember(tag string, hosts []jwhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.last = tag, hosts
}

// targetGroup is one group of a service discovery document.
type targetGroup struct {
	Targets []string   `json:"targets"`
	Labels  hostLabels `json:"labels"`
}

type hostLabels struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	Service    string `json:"service"`
	State      string `json:"state"`
	Nodes      string `json:"nodes"`
}

// decodeHosts reads a service discovery document.
func decodeHosts(body []byte) ([]jwhost.Host, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	var hosts []jwhost.Host
	for i, group := range groups {
		if !takesPart(jwhost.Role(group.Labels.Role)) {
			continue
		}
		for _, target := range group.Targets {
			host, err := decodeHost(target, group.Labels)
			if err != nil {
				return nil, errors.Wrapf(err, "decode group %d", i)
			}
			hosts = append(hosts, host)
		}
	}
	return hosts, nil
}

func takesPart(role jwhost.Role) bool {
	return role == jwhost.Entry || role == jwhost.Target
}

func decodeHost(target string, labels hostLabels) (jwhost.Host, error) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return jwhost.Host{}, err
	}
	host := jwhost.Host{
		Name:       labels.Name,
		Role:       jwhost.Role(labels.Role),
		Region:     labels.Region,
		DataCentre: labels.DataCentre,
		Service:    labels.Service,
		Address:    address,
		Leaving:    labels.State != "" && labels.State != liveState,
	}
	if host.Region == "" {
		return jwhost.Host{}, errors.Errorf("%s: no region", target)
	}
	if labels.Nodes == "" {
		return host, nil
	}
	host.Nodes, err = netip.ParseAddrPort(labels.Nodes)
	return host, err
}
