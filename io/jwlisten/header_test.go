package jwlisten

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"jujubewheel/core/jwrequest"
)

// FuzzParse checks that, whatever headers are sent, an accepted request holds
// only short printable values and a deadline in the future, and a rejected one
// states why. Accepted values are passed on to targets, logs and other nodes: if
// one contained a line break, a caller could insert headers into the requests
// that carry it.
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
				t.Fatalf("rejected without status, outcome or detail: %+v", refusal)
			}
			return
		}
		if secondKey != "" {
			t.Fatalf("accepted a request with two keys, %q and %q", key, secondKey)
		}
		if in.Workspace != workspace || in.Key != key || in.ID == "" || (id != "" && in.ID != id) {
			t.Fatalf("parsed request differs from its headers: %+v", in)
		}
		for _, s := range []string{in.Workspace, in.ID, in.Key, in.ContentType, in.Accept} {
			if !isShortPrintable(s, maxKeyLength) {
				t.Fatalf("accepted %q", s)
			}
		}
		if in.Workspace == "" || (timeout != "" && !in.Deadline.After(began)) {
			t.Fatalf("workspace %q, timeout %q, deadline %v", in.Workspace, timeout, in.Deadline)
		}
	})
}
