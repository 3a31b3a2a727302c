package jwplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
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
}

// Calls returns the number of calls sent so far.
func (l *HostList) Calls() uint64 { return l.calls.Load() }

// Hosts returns the list as it is now, without hosts of other roles than
// nodes and targets; a state that is not known counts as leaving. A host that
// lacks an address or a region makes the whole list an error, since a list
// that is taken in half would look like hosts that are gone.
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
	res, err := l.client.do("hostList", l.Address, r)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	body, err := readAnswer(res)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("host list: %s: %s", l.Address, res.Status)
	}
	hosts, err := decodeHosts(body)
	return hosts, errors.Wrapf(err, "host list: %s", l.Address)
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
		if !known(jwhost.Role(group.Labels.Role)) {
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

func known(role jwhost.Role) bool {
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
