package jwforward

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// HostSource provides the newest host list, which is sent to other nodes.
type HostSource interface {
	// Hosts returns the list and when it was read from the platform.
	Hosts() (hosts []jwhost.Host, taken time.Time)
}

// FetchHosts asks a node for the hosts of a region. It leaves out hosts whose
// addresses can't be parsed.
func (p *Pool) FetchHosts(ctx context.Context, from jwpeer.Peer, region string) ([]jwhost.Host, error) {
	client, _, err := p.client(from.NodeAddress)
	if err != nil {
		return nil, err
	}
	answer, err := client.Hosts(ctx, &jwwire.HostsRequest{Region: region})
	if err != nil {
		return nil, errors.Wrapf(err, "get hosts from %s", from.Name)
	}
	var out []jwhost.Host
	for _, h := range answer.GetHosts() {
		if host, ok := hostFromWire(h); ok {
			out = append(out, host)
		}
	}
	return out, nil
}

// hostFromWire returns false for a host whose addresses can't be parsed.
func hostFromWire(h *jwwire.Host) (jwhost.Host, bool) {
	out := jwhost.Host{
		Name: h.GetName(), Role: jwhost.Role(h.GetRole()), Region: h.GetRegion(), DataCentre: h.GetDataCentre(),
		Service: h.GetService(), Leaving: h.GetLeaving(),
	}
	var err error
	if out.Address, err = netip.ParseAddrPort(h.GetAddress()); err != nil {
		return out, false
	}
	if out.Role == jwhost.Node {
		out.NodeAddress, err = netip.ParseAddrPort(h.GetNodeAddress())
	}
	return out, err == nil
}

// Hosts sends the hosts of a region to another node that can't read the
// platform's list.
func (s *Server) Hosts(_ context.Context, in *jwwire.HostsRequest) (*jwwire.HostsResponse, error) {
	hosts, _ := s.HostList.Hosts()
	out := &jwwire.HostsResponse{}
	for _, h := range hosts {
		if h.Region != in.GetRegion() {
			continue
		}
		out.Hosts = append(out.Hosts, &jwwire.Host{
			Name: h.Name, Role: string(h.Role), Region: h.Region, DataCentre: h.DataCentre, Service: h.Service,
			Address: h.Address.String(), NodeAddress: h.NodeAddress.String(), Leaving: h.Leaving,
		})
	}
	return out, nil
}
