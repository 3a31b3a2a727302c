package jwlisten

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwrequest"
)

// Callers send what they like. Whatever their headers hold, what goes on to
// targets, logs and other nodes must be short and of one line, or a caller
// could write headers of its own into another's request.
func FuzzParse(f *testing.F) {
	f.Add("ws", "id", "key", "1s", "text/plain", "*/*")
	f.Add("", "", "", "", "", "")
	f.Add("a\r\nb", "\x00", strings.Repeat("k", 1000), "-1s", "\t", "é")
	f.Add("ws", "id", "key", "9223372036854775807ns", "", "")
	f.Fuzz(func(t *testing.T, workspace, id, key, timeout, kind, accept string) {
		r, err := http.NewRequest(http.MethodPost, "http://a/v1/requests/x", nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			headerWorkspace: workspace, headerRequestID: id, headerKey: key, headerTimeout: timeout, "Content-Type": kind, "Accept": accept,
		} {
			r.Header.Set(name, value)
		}
		before := time.Now()
		in, refusal, refused := parse(r)
		if refused {
			assert.Equal(t, refusal.Status, http.StatusBadRequest)
			assert.Equal(t, refusal.Outcome, jwrequest.NotRun)
			return
		}
		assert.Assert(t, in.Workspace != "" && in.ID != "")
		assert.Assert(t, in.Deadline.IsZero() || !in.Deadline.Before(before), "%v", in.Deadline)
		for _, s := range []string{in.Workspace, in.ID, in.Key, in.ContentType, in.Accept} {
			assert.Assert(t, len(s) <= maxKeyLength && !strings.ContainsAny(s, "\r\n\x00"), "%q", s)
		}
	})
}
