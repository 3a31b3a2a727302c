package jwlisten

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jujubewheel/core/jwrequest"
)

// FuzzParse checks that whatever headers come, a request that is taken in holds
// only short plain values and a deadline ahead, and a refused one says why. What
// is taken in goes on to targets, logs and other nodes: with a line break in it a
// caller could write headers of its own into another's request.
func FuzzParse(f *testing.F) {
	f.Add("hall", "r1", "k1", "2500ms", "application/json", "*/*", "")
	f.Add("", "", "", "", "", "", "")
	f.Add("h\xc3\xa4ll", "r\n1", "k\x00", "-1s", "text/plain; charset=utf-8", "\t", "\x7f")
	f.Add("a\r\nb", "\x00", strings.Repeat("k", 1000), "9223372036854775807ns", "", "\xc3\xa9", "")
	f.Add("hall", "r1", "", "9223372036s", "", "", "second")
	f.Add("hall", "r1", "k1", "1e9h", "", "", "")
	f.Add(" ", "~", " ", "1ns", "*/*", "", "")
	f.Fuzz(func(t *testing.T, workspace, id, key, timeout, contentType, accept, secondKey string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/requests/menu", nil)
		r.Header = http.Header{
			headerWorkspace: {workspace}, headerRequestID: {id}, headerKey: {key},
			headerTimeout: {timeout}, "Content-Type": {contentType}, "Accept": {accept},
		}
		if secondKey != "" {
			r.Header.Add(headerKey, secondKey)
		}
		began := time.Now()
		in, refusal, refused := parse(r)
		if refused {
			if refusal.Status != http.StatusBadRequest || refusal.Outcome != jwrequest.NotRun || refusal.Detail == "" {
				t.Fatalf("refused without a clear answer: %+v", refusal)
			}
			return
		}
		if secondKey != "" {
			t.Fatalf("took one of the keys %q and %q", key, secondKey)
		}
		if in.Workspace != workspace || in.Key != key || in.ID == "" || (id != "" && in.ID != id) {
			t.Fatalf("changed on the way: %+v", in)
		}
		for _, s := range []string{in.Workspace, in.ID, in.Key, in.ContentType, in.Accept} {
			if !isShortPrintable(s, maxKeyLength) {
				t.Fatalf("took in %q", s)
			}
		}
		if in.Workspace == "" || (timeout != "" && !in.Deadline.After(began)) {
			t.Fatalf("workspace %q, timeout %q, deadline %v", in.Workspace, timeout, in.Deadline)
		}
	})
}
