package jwoperate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwrest"
)

const (
	// maxEditSize is the maximum size of an edit's body in bytes: twice that of a
	// change, to allow for the JSON around it.
	maxEditSize = 2 * jwcatalogue.MaxChangeSize
	// defaultWait is how long an edit waits to be in force at all nodes before
	// the answer lists the nodes still missing. maxWait is the maximum wait that
	// a call may ask for.
	defaultWait  = 3 * time.Second
	maxWait      = 30 * time.Second
	pollInterval = 100 * time.Millisecond // between two checks
	retryAfter   = "1"                    // seconds
)

func (o *Operators) catalogue(w http.ResponseWriter, _ *http.Request) {
	current := o.Table.Current()
	list := Catalogue{Revision: current.Revision, Entries: []Entry{}}
	for name, e := range current.Entries {
		list.Entries = append(list.Entries, Entry{Revision: current.Revisions[name], Entry: e})
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.Entry.Name, b.Entry.Name) })
	writeJSON(w, http.StatusOK, list)
}

func (o *Operators) entry(w http.ResponseWriter, r *http.Request) {
	e, revision, ok := o.Table.Current().Entry(jwrest.Var(r, "name"))
	if !ok {
		writeError(w, http.StatusNotFound, ErrorBody{Error: "no such entry"})
		return
	}
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, Entry{Revision: revision, Entry: e})
}

func (o *Operators) put(w http.ResponseWriter, r *http.Request) {
	var body EditBody
	if !readBody(w, r, &body) {
		return
	}
	if body.Entry == nil {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: "the edit has no entry", Faults: []string{"entry is missing"}})
		return
	}
	o.edit(w, r, body)
}

func (o *Operators) remove(w http.ResponseWriter, r *http.Request) {
	var body EditBody
	if !readBody(w, r, &body) {
		return
	}
	body.Entry = nil
	o.edit(w, r, body)
}

// readBody decodes the body of an edit. It answers a malformed one and returns
// false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditSize))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, ErrorBody{Error: "body longer than an edit may be, or broken off"})
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: "the edit cannot be read", Faults: []string{err.Error()}})
		return false
	}
	return true
}

// edit writes one edit and answers whether it is in force at all nodes.
func (o *Operators) edit(w http.ResponseWriter, r *http.Request, body EditBody) {
	base, ok := precondition(r)
	if !ok {
		writeError(w, http.StatusPreconditionRequired, ErrorBody{
			Error: "say which change of the entry you saw: If-Match with its ETag, or If-None-Match: * for a new entry",
		})
		return
	}
	wait, ok := parseWait(w, r)
	if !ok {
		return
	}
	result, err := o.Editor.Put(r.Context(), jwcatalogue.Edit{
		EditID: body.EditID, Author: body.Author, Reason: body.Reason,
		Entry: jwrest.Var(r, "name"), After: body.Entry, IfRevision: base,
	})
	if err != nil {
		writeEditError(w, err)
		return
	}
	o.Audit.Add(jwaudit.Record{
		Kind: jwaudit.Edit, Subject: jwrest.Var(r, "name"), Revision: result.Revision,
		Author: body.Author, Detail: body.Reason,
	})
	w.Header().Set("ETag", etag(result.Revision))
	status := o.awaitAccepted(r.Context(), result.Revision, wait)
	if !status.Accepted {
		writeJSON(w, http.StatusAccepted, status)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// writeEditError answers an edit that was not written or whose outcome is unknown.
func writeEditError(w http.ResponseWriter, err error) {
	var invalid *jwcatalogue.InvalidError
	var conflict *jwcatalogue.ConflictError
	switch {
	case errors.As(err, &invalid):
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{Error: err.Error(), Faults: invalid.Faults})
	case errors.As(err, &conflict):
		if conflict.Revision > 0 {
			w.Header().Set("ETag", etag(conflict.Revision))
		}
		writeError(w, http.StatusPreconditionFailed, ErrorBody{
			Error: err.Error(), Revision: conflict.Revision, Winner: conflict.ConflictingChange,
		})
	case errors.Is(err, jwstore.ErrUnavailable):
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, http.StatusServiceUnavailable, ErrorBody{Error: "not written: " + err.Error()})
	default:
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, http.StatusGatewayTimeout, ErrorBody{
			Error: "may have been written, send the same editId again: " + err.Error(),
		})
	}
}

// awaitAccepted polls until the revision is accepted, the wait is over or ctx
// ends, and returns the last status.
func (o *Operators) awaitAccepted(ctx context.Context, revision uint64, wait time.Duration) RevisionStatus {
	end := time.Now().Add(wait)
	for {
		s, err := o.revisionStatus(ctx, revision)
		left := time.Until(end)
		if err == nil && s.Accepted || left <= 0 {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(min(pollInterval, left)):
		}
	}
}

func (o *Operators) revisionStatus(ctx context.Context, revision uint64) (RevisionStatus, error) {
	accepted, missing, err := o.Acceptance.Status(ctx, revision)
	return RevisionStatus{Revision: revision, Accepted: accepted && err == nil, Missing: missing}, err
}

func (o *Operators) status(w http.ResponseWriter, r *http.Request) {
	current := o.Table.Current().Revision
	revision, ok := parseNumber(w, r, "revision", current)
	if !ok {
		return
	}
	if revision > current {
		writeError(w, http.StatusNotFound, ErrorBody{Error: "this node has no such revision yet", Revision: current})
		return
	}
	s, err := o.revisionStatus(r.Context(), revision)
	if err != nil {
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), Revision: revision})
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (o *Operators) history(w http.ResponseWriter, r *http.Request) {
	after, limit, ok := parsePage(w, r)
	if !ok {
		return
	}
	list := History{Revision: o.Table.Current().Revision, Oldest: o.Table.OldestChange(), Changes: []jwcatalogue.Change{}}
	if list.Oldest > 0 {
		after = max(after, list.Oldest-1)
	}
	entry := r.URL.Query().Get("entry")
	for len(list.Changes) < limit {
		changes, _ := o.Table.Changes(after, maxLimit)
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			if (entry == "" || c.Entry == entry) && len(list.Changes) < limit {
				list.Changes = append(list.Changes, c)
			}
		}
		after = changes[len(changes)-1].N
	}
	writeJSON(w, http.StatusOK, list)
}

// precondition returns the revision of the entry that the edit is based on, 0
// for a new entry; ok is false if no header gives one.
func precondition(r *http.Request) (revision uint64, ok bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseUint(text, 10, 64)
	return revision, err == nil && revision > 0
}

// parseWait returns how long the operator waits for the edit to be accepted. It
// answers a malformed duration and returns false.
func parseWait(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultWait, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		writeError(w, http.StatusBadRequest, ErrorBody{Error: `wait must be a duration such as "3s"`})
		return 0, false
	}
	return min(d, maxWait), true
}

func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }
