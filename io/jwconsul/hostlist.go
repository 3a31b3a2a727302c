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

// DefaultHostsPath is the URL path of the host list if HostList.Path is empty.
const DefaultHostsPath = "/hosts"

// liveState is the state label of a host that accepts requests. A host without
// the label is live.
const liveState = "live"

// HostList reads the platform's list of live and leaving hosts, a Prometheus HTTP
// service discovery document.
type HostList struct {
	Address netip.AddrPort
	Path    string        // empty means DefaultHostsPath
	Timeout time.Duration // 0 means 2s

	client    client
	calls     atomic.Uint64
	mu        sync.Mutex
	etag      string // ETag of the last list
	lastHosts []jwhost.Host
}

// Calls returns the number of requests sent so far.
func (l *HostList) Calls() uint64 { return l.calls.Load() }

// Traffic returns the number of bytes sent and received so far.
func (l *HostList) Traffic() Traffic { return l.client.traffic() }

// Hosts returns the current nodes and targets and omits hosts of other roles. A host
// with an unknown state counts as leaving. A host without a valid address or a region
// makes the whole list an error, since hosts missing from a partial list would look as
// if they were gone. If the platform supports ETags, an unchanged list is not sent
// again. Callers share the slice and must not modify it.
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
	etag, last := l.cached()
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	res, err := l.client.do("hostList", l.Address, r)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	body, err := readBody(res)
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	case res.StatusCode == http.StatusNotModified && etag != "":
		return last, nil
	case res.StatusCode != http.StatusOK:
		return nil, errors.Errorf("host list: %s: %s", l.Address, res.Status)
	}
	hosts, err := decodeHosts(body)
	if err != nil {
		return nil, errors.Wrapf(err, "host list: %s", l.Address)
	}
	l.setCached(res.Header.Get("ETag"), hosts)
	return hosts, nil
}

// cached returns the last list and its ETag, which is empty if there is none.
func (l *HostList) cached() (etag string, last []jwhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.lastHosts
}

func (l *HostList) setCached(etag string, hosts []jwhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.lastHosts = etag, hosts
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

// decodeHosts decodes a service discovery document and skips groups whose role is
// neither node nor target.
func decodeHosts(body []byte) ([]jwhost.Host, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	var hosts []jwhost.Host
	for i, group := range groups {
		if !isNodeOrTarget(jwhost.Role(group.Labels.Role)) {
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

func isNodeOrTarget(role jwhost.Role) bool {
	return role == jwhost.Node || role == jwhost.Target
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
	host.NodeAddress, err = netip.ParseAddrPort(labels.Nodes)
	return host, err
}
