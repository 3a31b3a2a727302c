package jwcommand

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/io/jwoperate"
)

// catalogueCommand holds the commands on the catalogue.
type catalogueCommand struct {
	Get     getCommand     `cmd:"" help:"Print the catalogue, or one entry as JSON to edit and put back."`
	Put     putCommand     `cmd:"" help:"Write entries from a file."`
	Remove  removeCommand  `cmd:"" help:"Remove an entry."`
	History historyCommand `cmd:"" help:"Print the latest changes."`
	Status  statusCommand  `cmd:"" help:"Show whether a revision is in force everywhere."`
	Forget  forgetCommand  `cmd:"" help:"Stop waiting for a node that will never serve again."`
}

// getCommand prints the catalogue.
type getCommand struct {
	connection
	Name string `arg:"" optional:"" help:"Name of the entry; all entries if omitted."`
	JSON bool   `help:"Print JSON."`
}

// Run prints one entry as JSON, or all as a table.
func (c *getCommand) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	if c.Name != "" {
		var e jwoperate.Entry
		if err := api.get(ctx, entryPath(c.Name), &e); err != nil {
			return err
		}
		return printJSON(p.Stdout, e)
	}
	var list jwoperate.Catalogue
	if err := api.get(ctx, "/v1/catalogue", &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p.Stdout, list)
	}
	t := newTable(p.Stdout, "NAME", "CHANGE", "CLASS", "OWNER", "SERVICE", "IDEMPOTENT", "BOUND", "DEADLINE")
	for _, e := range list.Entries {
		t.row(e.Entry.Name, formatUint(e.Revision), string(e.Entry.Class), e.Entry.Owner, e.Entry.Service,
			yesNo(e.Entry.Idempotent), yesNo(e.Entry.Bound), e.Entry.Deadline.String())
	}
	return t.flush()
}

// edit holds the flags of commands that write entries.
type edit struct {
	Author string        `required:"" env:"JUJUBE_AUTHOR" help:"Who edits; kept in the history."`
	Reason string        `required:"" help:"Why; kept in the history."`
	EditID string        `name:"edit-id" help:"Id of the edit, to send it again after an unknown outcome; a new one if omitted."`
	Wait   time.Duration `default:"3s" help:"How long to wait until the change is in force everywhere."`
}

// putCommand writes entries.
type putCommand struct {
	connection
	edit
	File      string `arg:"" type:"path" help:"One entry as printed by get, a bare entry, or an object with the list \"entries\" of these; comments are allowed."`
	Overwrite bool   `help:"Replace existing entries for which the file gives no revision."`
	JSON      bool   `help:"Print JSON."`
}

// putResult is the result of writing one entry, as put prints it.
type putResult struct {
	Entry     string `json:"entry"`
	EditID    string `json:"editId,omitempty"`
	Unchanged bool   `json:"unchanged,omitempty"`
	jwoperate.RevisionStatus
}

// Run writes the entries in their order and stops at the first that fails.
func (c *putCommand) Run(ctx context.Context, p *Program) error {
	items, err := readEntries(c.File)
	if err != nil {
		return &exitError{Invalid, err}
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	for i, item := range items {
		e := c.edit
		if e.EditID != "" && len(items) > 1 {
			e.EditID += "." + formatUint(uint64(i)) // the same id when the file is sent again
		}
		r, err := e.put(ctx, api, item, c.Overwrite)
		if err == nil {
			err = r.print(p, c.JSON)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// put writes one entry.
func (e edit) put(ctx context.Context, api *client, item jwoperate.Entry, overwrite bool) (putResult, error) {
	if item.Revision == 0 {
		current, exists, err := api.entry(ctx, item.Entry.Name)
		if err != nil {
			return putResult{}, err
		}
		if exists && sameEntry(current.Entry, item.Entry) {
			return putResult{Entry: item.Entry.Name, Unchanged: true, RevisionStatus: jwoperate.RevisionStatus{Revision: current.Revision}}, nil
		}
		if overwrite {
			item.Revision = current.Revision
		}
	}
	return e.send(ctx, api, http.MethodPut, item.Entry.Name, &item.Entry, item.Revision)
}

// send sends one edit. base is the revision of the entry that the edit is based
// on, 0 for a new entry.
func (e edit) send(ctx context.Context, api *client, method, name string, entry *jwcatalogue.Entry, base uint64) (putResult, error) {
	if e.EditID == "" {
		e.EditID = uuid.NewString()
	}
	header := http.Header{}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+formatUint(base)+`"`)
	}
	r := putResult{Entry: name, EditID: e.EditID}
	_, err := api.do(ctx, call{
		method: method,
		path:   entryPath(name) + "?wait=" + e.Wait.String(),
		header: header,
		body:   jwoperate.EditBody{Entry: entry, Author: e.Author, Reason: e.Reason, EditID: e.EditID},
	}, &r.RevisionStatus)
	return r, e.withEditID(err)
}

// withEditID adds the edit id to the error of an edit that may have been written:
// one with an unknown outcome, or one that got no answer.
func (e edit) withEditID(err error) error {
	code := exitCodeOf(err)
	var respErr *responseError
	if code != Unknown && (err == nil || asResponseError(err, &respErr)) {
		return err
	}
	return &exitError{Unknown, fmt.Errorf("%w\nsend again with --edit-id %s", err, e.EditID)}
}

func (r putResult) print(p *Program, asJSON bool) error {
	if asJSON {
		if err := printJSON(p.Stdout, r); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(p.Stdout, r.text())
	}
	if !r.Unchanged && !r.Accepted {
		return &exitError{Pending, errReported}
	}
	return nil
}

func (r putResult) text() string {
	switch {
	case r.Unchanged:
		return r.Entry + ": unchanged"
	case r.Accepted:
		return r.Entry + ": change " + formatUint(r.Revision) + " is in force everywhere"
	}
	text := r.Entry + ": change " + formatUint(r.Revision) + " is written, not yet in force everywhere"
	if len(r.Missing) > 0 {
		text += "; missing: " + strings.Join(r.Missing, ", ")
	}
	return text
}

// removeCommand removes an entry.
type removeCommand struct {
	connection
	edit
	Name     string `arg:"" help:"Name of the entry."`
	Revision uint64 `required:"" help:"The entry's last change, as printed by get."`
	JSON     bool   `help:"Print JSON."`
}

// Run removes the entry.
func (c *removeCommand) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	r, err := c.send(ctx, api, http.MethodDelete, c.Name, nil, c.Revision)
	if err != nil {
		return err
	}
	return r.print(p, c.JSON)
}

// historyCommand prints changes.
type historyCommand struct {
	connection
	Entry string `help:"Only changes of this entry."`
	After uint64 `help:"Only changes after this one."`
	Limit int    `default:"100" help:"Maximum number of changes."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints the changes, oldest first.
func (c *historyCommand) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var list jwoperate.History
	path := fmt.Sprintf("/v1/catalogue/history?after=%d&limit=%d&entry=%s", c.After, c.Limit, url.QueryEscape(c.Entry))
	if err := api.get(ctx, path, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p.Stdout, list)
	}
	return printChanges(p, list.Changes)
}

func printChanges(p *Program, changes []jwcatalogue.Change) error {
	t := newTable(p.Stdout, "CHANGE", "TIME", "AUTHOR", "ENTRY", "KIND", "REASON")
	for _, c := range changes {
		t.row(formatUint(c.N), c.Time.UTC().Format(time.RFC3339), c.Author, c.Entry, changeKind(c), c.Reason)
	}
	return t.flush()
}

func changeKind(c jwcatalogue.Change) string {
	switch {
	case c.Before == nil:
		return "added"
	case c.After == nil:
		return "removed"
	}
	return "changed"
}

// statusCommand shows whether a revision is in force at all nodes.
type statusCommand struct {
	connection
	Revision uint64 `help:"Revision; the newest if omitted."`
	JSON     bool   `help:"Print JSON."`
}

// Run prints the status of the revision. The exit code is Pending if it is not
// yet in force everywhere.
func (c *statusCommand) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	path := "/v1/catalogue/status"
	if c.Revision > 0 {
		path += "?revision=" + formatUint(c.Revision)
	}
	var s jwoperate.RevisionStatus
	if err := api.get(ctx, path, &s); err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(p.Stdout, s)
	} else {
		fmt.Fprintln(p.Stdout, revisionText(s))
	}
	if err == nil && !s.Accepted {
		return &exitError{Pending, errReported}
	}
	return err
}

// forgetCommand removes a node from those that must confirm changes.
type forgetCommand struct {
	connection
	Region string `arg:"" help:"Region of the node."`
	Node   string `arg:"" help:"Name of the node, as status prints it. Be sure that its host is gone: if the node still serves, such as behind a network partition, accepted changes are not in force there."`
	Author string `required:"" env:"JUJUBE_AUTHOR" help:"Who removes the node; kept in the audit trail."`
	Reason string `required:"" help:"How you know that it is gone; kept in the audit trail."`
}

// Run removes the node by a call to the node at the given address.
func (c *forgetCommand) Run(ctx context.Context, p *Program) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var out jwoperate.Forgotten
	_, err = api.do(ctx, call{
		method: http.MethodDelete,
		path:   "/v1/members/" + url.PathEscape(c.Region) + "/" + url.PathEscape(c.Node),
		body:   jwoperate.ForgetBody{Author: c.Author, Reason: c.Reason},
	}, &out)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.Stdout, "%s in %s is no longer waited for\n", out.Node, out.Region)
	return nil
}

func revisionText(s jwoperate.RevisionStatus) string {
	if s.Accepted {
		return "revision " + formatUint(s.Revision) + " is in force everywhere"
	}
	return "revision " + formatUint(s.Revision) + " is not yet in force at: " + strings.Join(s.Missing, ", ")
}

func entryPath(name string) string { return "/v1/catalogue/entries/" + url.PathEscape(name) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
