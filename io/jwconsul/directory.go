package jwconsul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwdirectory"
)

const (
	// WorkspaceSchema is the URN of the SCIM schema extension that describes a workspace.
	WorkspaceSchema = "urn:jujubewheel:scim:Workspace"

	directoryPageSize = 1000
	directoryPath     = "/scim/v2/Users"
	// maxDirectoryFetches is the maximum number of attempts to read all pages; an
	// attempt fails if the directory changes between two pages.
	maxDirectoryFetches = 3
)

// Directory reads the platform's client directory over SCIM 2.0.
type Directory struct {
	Address netip.AddrPort
	Timeout time.Duration // of the request for one page; 0 means 2s

	client client
	calls  atomic.Uint64
}

// Calls returns the number of requests sent so far; each page takes one request.
func (d *Directory) Calls() uint64 { return d.calls.Load() }

// Traffic returns the number of bytes sent and received so far.
func (d *Directory) Traffic() Traffic { return d.client.traffic() }

// Fetch returns the whole directory, or nil if it is still at version. An empty
// version always fetches. Fetch fails if the directory changes during each attempt.
func (d *Directory) Fetch(ctx context.Context, version string) (*jwdirectory.Snapshot, error) {
	for range maxDirectoryFetches {
		snapshot, changed, err := d.fetchOnce(ctx, version)
		if err != nil {
			return nil, errors.Wrapf(err, "directory: %s", d.Address)
		}
		if !changed {
			return snapshot, nil
		}
	}
	return nil, errors.Errorf("directory: %s: changed during each of %d attempts to fetch it", d.Address, maxDirectoryFetches)
}

// fetchOnce reads all pages. The result changed reports that the pages are not
// all of one version, so that a workspace could be missing or appear twice.
func (d *Directory) fetchOnce(ctx context.Context, version string) (snapshot *jwdirectory.Snapshot, changed bool, err error) {
	for start := 1; ; {
		page, etag, err := d.fetchPage(ctx, version, start)
		if err != nil {
			return nil, false, err
		}
		if page == nil {
			return nil, false, nil
		}
		version = ""
		if snapshot == nil {
			snapshot = &jwdirectory.Snapshot{Version: etag, Workspaces: make(map[string]jwdirectory.Workspace)}
		}
		if etag != snapshot.Version {
			return nil, true, nil
		}
		for _, w := range page.workspaces {
			snapshot.Workspaces[w.Name] = w
		}
		start += len(page.workspaces)
		if start > page.total {
			return snapshot, len(snapshot.Workspaces) != page.total, nil
		}
		if len(page.workspaces) == 0 {
			return nil, true, nil
		}
	}
}

// fetchPage reads the page that begins at the 1-based index start, and returns it with
// its ETag. The page is nil if the directory is still at version.
func (d *Directory) fetchPage(ctx context.Context, version string, start int) (*directoryPage, string, error) {
	d.calls.Add(1)
	ctx, cancel := withTimeout(ctx, d.Timeout)
	defer cancel()
	pageURL := fmt.Sprintf("http://%s%s?startIndex=%d&count=%d", d.Address, directoryPath, start, directoryPageSize)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL, nil)
	if err != nil {
		return nil, "", err
	}
	if version != "" {
		r.Header.Set("If-None-Match", version)
	}
	res, err := d.client.do("directory", d.Address, r)
	if err != nil {
		return nil, "", err
	}
	body, err := readBody(res)
	if err != nil {
		return nil, "", err
	}
	if res.StatusCode == http.StatusNotModified && version != "" {
		return nil, version, nil
	}
	if res.StatusCode != http.StatusOK {
		return nil, "", errors.New(res.Status)
	}
	list, err := decodeDirectory(body)
	return list, res.Header.Get("ETag"), err
}

// directoryPage is one page of the directory; total counts the workspaces on all pages.
type directoryPage struct {
	total      int
	workspaces []jwdirectory.Workspace
}

type scimList struct {
	TotalResults int        `json:"totalResults"`
	Resources    []scimUser `json:"Resources"`
}

type scimUser struct {
	UserName  string               `json:"userName"`
	Workspace *scimWorkspaceSchema `json:"urn:jujubewheel:scim:Workspace"`
}

type scimWorkspaceSchema struct {
	Region string `json:"region"`
	Bound  bool   `json:"bound"`
	Owner  string `json:"owner"`
}

// decodeDirectory decodes one SCIM list response. A user without the workspace
// extension or without a region is an error, because data bound to a region could
// leave it if the region were guessed.
func decodeDirectory(body []byte) (*directoryPage, error) {
	var list scimList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if list.TotalResults < len(list.Resources) {
		return nil, errors.Errorf("decode: page has %d users, but totalResults is %d", len(list.Resources), list.TotalResults)
	}
	page := &directoryPage{total: list.TotalResults}
	for i, user := range list.Resources {
		if user.UserName == "" || user.Workspace == nil || user.Workspace.Region == "" {
			return nil, errors.Errorf("decode: user %d (%q) has no name or no region", i, user.UserName)
		}
		page.workspaces = append(page.workspaces, jwdirectory.Workspace{
			Name:   user.UserName,
			Region: user.Workspace.Region,
			Bound:  user.Workspace.Bound,
			Owner:  user.Workspace.Owner,
		})
	}
	return page, nil
}
