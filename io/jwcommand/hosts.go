package jwcommand

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
)

// hostsCommand shows the hosts that callers of a workspace should use, from the
// callers' interface of a node.
type hostsCommand struct {
	Workspace string         `arg:"" help:"Workspace of the caller."`
	Callers   netip.AddrPort `default:"127.0.0.1:8080" env:"JUJUBE_CALLERS" help:"Callers' address of any node."`
	Authority string         `type:"path" env:"JUJUBE_AUTHORITY" help:"PEM file of the authority that signs the nodes' certificates; makes the call use TLS."`
	JSON      bool           `help:"Print JSON."`
}

// hostList is the answer of GET /v1/hosts.
type hostList struct {
	Hosts       []netip.AddrPort `json:"hosts"`
	TrustMillis int64            `json:"trustMillis"`
}

// Run prints the hosts, best first.
func (c *hostsCommand) Run(ctx context.Context, p *Program) error {
	api, err := connection{At: c.Callers, Authority: c.Authority}.client()
	if err != nil {
		return err
	}
	api.token = "" // the operators' token is never sent to callers' ports
	var list hostList
	if err := api.get(ctx, "/v1/hosts?workspace="+url.QueryEscape(c.Workspace), &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p.Stdout, list)
	}
	for _, host := range list.Hosts {
		fmt.Fprintln(p.Stdout, host)
	}
	return nil
}
