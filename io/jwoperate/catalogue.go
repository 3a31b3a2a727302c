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
	// maxEdit is the max size of an edit's body in bytes: that of a change, and
	// as much again for the JSON around it.
	maxEdit = 2 * jwcatalogue.MaxChangeSize
	// defaultWait is how long an edit waits to be in force at all nodes before
	// it is answered with those still missing. maxWait is the longest wait that
	// a call may ask for.
	defaultWait = 3 * time.Second
	maxWait     = 30 * time.Second
	waitStep    = 100 * time.Millisecond // between two checks
	retryAfter  = "1"                    // seconds
)

func (o *Operators) catalogue(w http.ResponseWriter, _ *http.Request) {
	now := o.Table.Current()
	list := Catalogue{Revision: now.Revision, Entries: []Entry{}}
	for name, e := range now.Entries {
		list.Entries = append(list.Entries, Entry{Revision: now.Revisions[name], Entry: e})
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.Entry.Name, b.Entry.Name) })
	answer(w, http.StatusOK, list)
}

func (o *Operators) entry(w http.ResponseWriter, r *http.Request) {
	e, revision, ok := o.Table.Current().Entry(jwrest.Var(r, "name"))
	if !ok {
		refuse(w, http.StatusNotFound, Refusal{Error: "no such entry"})
		return
	}
	w.Header().Set("ETag", etag(revision))
	answer(w, http.StatusOK, Entry{Revision: revision, Entry: e})
}

func (o *Operators) put(w http.ResponseWriter, r *http.Request) {
	var body EditBody
	if !readBody(w, r, &body) {
		return
	}
	if body.Entry == nil {
		refuse(w, http.StatusUnprocessableEntity, Refusal{Error: "the edit has no entry", Faults: []string{"entry is missing"}})
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEdit))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, Refusal{Error: "body longer than an edit may be, or broken off"})
		return false
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		refuse(w, http.StatusUnprocessableEntity, Refusal{Error: "the edit cannot be read", Faults: []string{err.Error()}})
		return false
	}
	return true
}

// edit writes one edit and answers whether it is in force at all nodes.
func (o *Operators) edit(w http.ResponseWriter, r *http.Request, body EditBody) {
	seen, ok := precondition(r)
	if !ok {
		refuse(w, http.StatusPreconditionRequired, Refusal{
			Error: "say which change of the entry you saw: If-Match with its ETag, or If-None-Match: * for a new entry",
		})
		return
	}
	wait, ok := waiting(w, r)
	if !ok {
		return
	}
	result, err := o.Editor.Put(r.Context(), jwcatalogue.Edit{
		EditID: body.EditID, Author: body.Author, Reason: body.Reason,
		Entry: jwrest.Var(r, "name"), After: body.Entry, IfRevision: seen,
	})
	if err != nil {
		refuseEdit(w, err)
		return
	}
	o.Audit.Add(jwaudit.Record{
		Kind: jwaudit.Edit, Subject: jwrest.Var(r, "name"), Revision: result.Revision,
		Author: body.Author, Detail: body.Reason,
	})
	w.Header().Set("ETag", etag(result.Revision))
	standing := o.await(r.Context(), result.Revision, wait)
	if !standing.Accepted {
		answer(w, http.StatusAccepted, standing)
		return
	}
	answer(w, http.StatusOK, standing)
}

// refuseEdit answers an edit that was not written or whose outcome is unknown.
func refuseEdit(w http.ResponseWriter, err error) {
	var invalid *jwcatalogue.InvalidError
	var conflict *jwcatalogue.ConflictError
	switch {
	case errors.As(err, &invalid):
		refuse(w, http.StatusUnprocessableEntity, Refusal{Error: err.Error(), Faults: invalid.Faults})
	case errors.As(err, &conflict):
		if conflict.Revision > 0 {
			w.Header().Set("ETag", etag(conflict.Revision))
		}
		refuse(w, http.StatusPreconditionFailed, Refusal{
			Error: err.Error(), Revision: conflict.Revision, Winner: conflict.Winner,
		})
	case errors.Is(err, jwstore.ErrUnavailable):
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, http.StatusServiceUnavailable, Refusal{Error: "not written: " + err.Error()})
	default:
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, http.StatusGatewayTimeout, Refusal{
			Error: "may have been written, send the same editId again: " + err.Error(),
		})
	}
}

// await polls until the revision is accepted, the wait is over or ctx ends, and
// returns the last status.
func (o *Operators) await(ctx context.Context, revision uint64, wait time.Duration) Standing {
	end := time.Now().Add(wait)
	for {
		s, err := o.standing(ctx, revision)
		left := time.Until(end)
		if err == nil && s.Accepted || left <= 0 {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(min(waitStep, left)):
		}
	}
}

func (o *Operators) standing(ctx context.Context, revision uint64) (Standing, error) {
	accepted, missing, err := o.Acceptance.Status(ctx, revision)
	return Standing{Revision: revision, Accepted: accepted && err == nil, Missing: missing}, err
}

func (o *Operators) status(w http.ResponseWriter, r *http.Request) {
	now := o.Table.Current().Revision
	revision, ok := number(w, r, "revision", now)
	if !ok {
		return
	}
	if revision > now {
		refuse(w, http.StatusNotFound, Refusal{Error: "this node has no such revision yet", Revision: now})
		return
	}
	s, err := o.standing(r.Context(), revision)
	if err != nil {
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, http.StatusServiceUnavailable, Refusal{Error: err.Error(), Revision: revision})
		return
	}
	answer(w, http.StatusOK, s)
}

func (o *Operators) history(w http.ResponseWriter, r *http.Request) {
	after, limit, ok := page(w, r)
	if !ok {
		return
	}
	list := History{Revision: o.Table.Current().Revision, Oldest: o.Table.Base(), Changes: []jwcatalogue.Change{}}
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
	answer(w, http.StatusOK, list)
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

// waiting returns how long the operator waits for the edit to be accepted. It
// answers a malformed duration and returns false.
func waiting(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return defaultWait, true
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		refuse(w, http.StatusBadRequest, Refusal{Error: `wait must be a duration such as "3s"`})
		return 0, false
	}
	return min(d, maxWait), true
}

func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }
