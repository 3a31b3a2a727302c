package jwcommand

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwexplain"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwoperate"
)

// explainCommand holds the commands that show what happened to requests, targets
// and revisions, and why.
type explainCommand struct {
	Request  explainRequest  `cmd:"" help:"Show the decisions of one or more nodes on a request."`
	Log      explainLog      `cmd:"" help:"Show the path of a request from the logs of several nodes."`
	View     explainView     `cmd:"" help:"Show what a node knew at a point in time, from its log."`
	Target   explainTarget   `cmd:"" help:"Show why a target got no requests in a period, from logs."`
	Revision explainRevision `cmd:"" help:"Show who made a catalogue revision and how far it is in force."`
}

// explainRequest shows the traces of a request.
type explainRequest struct {
	connection
	ID   string           `arg:"" help:"The request's id, as in the header Jujube-Request-Id."`
	Also []netip.AddrPort `help:"Operators' addresses of further nodes that the request may have passed."`
	JSON bool             `help:"Print JSON."`
}

// Run queries each node and prints the traces found. It fails only if no node has
// one, with the error of the last node.
func (c *explainRequest) Run(ctx context.Context, p *Program) error {
	var found []jwexplain.Trace
	var last error
	for _, address := range append([]netip.AddrPort{c.At}, c.Also...) {
		traces, err := c.query(ctx, address)
		found = append(found, traces...)
		if err != nil {
			last = err
		}
	}
	if len(found) == 0 {
		return errors.Wrap(last, "explain request: "+c.ID)
	}
	if c.JSON {
		return printJSON(p.Stdout, jwoperate.Traces{Traces: found})
	}
	for _, t := range found {
		printTrace(p, t)
	}
	return nil
}

func (c *explainRequest) query(ctx context.Context, node netip.AddrPort) ([]jwexplain.Trace, error) {
	conn := c.connection
	conn.At = node
	api, err := conn.client()
	if err != nil {
		return nil, err
	}
	var traces jwoperate.Traces
	err = api.get(ctx, "/v1/explain/requests/"+url.PathEscape(c.ID), &traces)
	return traces.Traces, err
}

func printTrace(p *Program, t jwexplain.Trace) {
	fmt.Fprintf(p.Stdout, "%s at %s: %s", t.RequestID, t.Node, t.Outcome)
	if t.Reason != "" {
		fmt.Fprintf(p.Stdout, " (%s)", t.Reason)
	}
	fmt.Fprintf(p.Stdout, " after %s\n", t.Ended.Sub(t.Started).Round(time.Microsecond))
	fmt.Fprintf(p.Stdout, "  entry %s, workspace %s, home %s, bound %s, served by %s\n",
		t.Entry, t.Workspace, orDash(t.Region), yesNo(t.Bound), orDash(t.ServedBy))
	if text := reasonTexts[t.Reason]; text != "" {
		fmt.Fprintf(p.Stdout, "  why: %s\n", text)
	}
	var hops []string
	for _, h := range t.Hops {
		hops = append(hops, h.Node+" ("+h.DataCentre+")")
	}
	fmt.Fprintf(p.Stdout, "  hops: %s\n", orDash(strings.Join(hops, ", ")))
	for _, s := range t.Steps {
		after := time.Duration(s.AfterMicros) * time.Microsecond
		fmt.Fprintf(p.Stdout, "  %10s  %s: %s", after, s.Step, s.Detail)
		if text := meaning(s.Step, s.Detail); text != "" {
			fmt.Fprintf(p.Stdout, " (%s)", text)
		}
		fmt.Fprintln(p.Stdout)
	}
}

// explainRevision shows one revision.
type explainRevision struct {
	connection
	Revision uint64 `arg:"" help:"Number of the change."`
	JSON     bool   `help:"Print JSON."`
}

// revisionReport is what explain revision prints.
type revisionReport struct {
	Change         *jwcatalogue.Change      `json:"change,omitempty"` // nil when the node no longer has it
	RevisionStatus jwoperate.RevisionStatus `json:"standing"`
	Records        []jwaudit.Record         `json:"records"`
}

// Run fetches the change, its status and the audit records about it.
func (c *explainRevision) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var report revisionReport
	if err := api.get(ctx, "/v1/catalogue/status?revision="+formatUint(c.Revision), &report.RevisionStatus); err != nil {
		return err
	}
	if report.Change, err = c.change(ctx, api); err != nil {
		return err
	}
	if report.Records, err = c.records(ctx, api); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p.Stdout, report)
	}
	return report.print(p)
}

func (c *explainRevision) change(ctx context.Context, api *client) (*jwcatalogue.Change, error) {
	if c.Revision == 0 {
		return nil, nil
	}
	var list jwoperate.History
	if err := api.get(ctx, "/v1/catalogue/history?limit=1&after="+formatUint(c.Revision-1), &list); err != nil {
		return nil, err
	}
	if len(list.Changes) == 0 || list.Changes[0].N != c.Revision {
		return nil, nil
	}
	return &list.Changes[0], nil
}

// records reads the whole audit trail of the node and returns the records of the
// revision.
func (c *explainRevision) records(ctx context.Context, api *client) ([]jwaudit.Record, error) {
	kept := []jwaudit.Record{}
	for after := uint64(0); ; {
		var page jwoperate.AuditRecords
		if err := api.get(ctx, "/v1/audit?limit=1000&after="+formatUint(after), &page); err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return kept, nil
		}
		for _, r := range page.Records {
			if r.Revision == c.Revision {
				kept = append(kept, r)
			}
		}
		after = page.Records[len(page.Records)-1].Sequence
	}
}

func (s revisionReport) print(p *Program) error {
	if s.Change == nil {
		fmt.Fprintln(p.Stdout, "the node no longer has the change itself")
	} else if err := printChanges(p, []jwcatalogue.Change{*s.Change}); err != nil {
		return err
	}
	fmt.Fprintln(p.Stdout, revisionText(s.RevisionStatus))
	for _, r := range s.Records {
		fmt.Fprintf(p.Stdout, "%s  %s %s at %s", r.Time.Format(time.RFC3339Nano), r.Kind, r.Subject, r.Node)
		if r.Detail != "" {
			fmt.Fprintf(p.Stdout, ": %s", r.Detail)
		}
		fmt.Fprintln(p.Stdout)
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
