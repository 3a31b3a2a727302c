package jwlisten

import (
	"net/http"
	"time"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwrest"
)

// The headers of the callers' interface.
const (
	headerWorkspace = "Jujube-Workspace"
	headerRequestID = "Jujube-Request-Id"
	headerTimeout   = "Jujube-Timeout"
	headerOutcome   = "Jujube-Outcome"
	headerServedBy  = "Jujube-Served-By"
	headerKey       = "Idempotency-Key"
)

const (
	maxNameLength = 128
	maxKeyLength  = 512
)

// parse reads a request's path and headers, or returns a refusal. The request is
// returned in both cases, but its fields are not checked if it is rejected.
func parse(r *http.Request) (*jwrequest.Request, jwdispatch.AnswerHead, bool) {
	in := &jwrequest.Request{
		ID:          r.Header.Get(headerRequestID),
		Workspace:   r.Header.Get(headerWorkspace),
		Entry:       jwrest.Var(r, "entry"),
		Key:         r.Header.Get(headerKey),
		ContentType: r.Header.Get("Content-Type"),
		Accept:      r.Header.Get("Accept"),
	}
	if in.ID == "" {
		in.ID = newRequestID()
	}
	if name, repeated := repeatedHeader(r.Header); repeated {
		return in, headerRefusal("header given more than once: " + name), true
	}
	switch {
	case !isShortPrintable(in.ID, maxNameLength):
		return in, badHeader(headerRequestID), true
	case in.Workspace == "" || !isShortPrintable(in.Workspace, maxNameLength):
		return in, badHeader(headerWorkspace), true
	case !isShortPrintable(in.Key, maxKeyLength):
		return in, badHeader(headerKey), true
	case !isShortPrintable(in.ContentType, maxNameLength) || !isShortPrintable(in.Accept, maxKeyLength):
		return in, badHeader("Content-Type or Accept"), true
	}
	if s := r.Header.Get(headerTimeout); s != "" {
		timeout, err := time.ParseDuration(s)
		if err != nil || timeout <= 0 {
			return in, badHeader(headerTimeout), true
		}
		in.Deadline = time.Now().Add(timeout)
	}
	return in, jwdispatch.AnswerHead{}, false
}

// repeatedHeader returns the name of a header that is given more than once
// although only one value is allowed.
//
// If a proxy between the caller and the node adds such a header, the node would
// have to choose one of two workspaces or keys. Data could then be served under
// the wrong workspace, or a request run once for each key.
func repeatedHeader(h http.Header) (string, bool) {
	for _, name := range []string{headerWorkspace, headerRequestID, headerTimeout, headerKey} {
		if len(h.Values(name)) > 1 {
			return name, true
		}
	}
	return "", false
}

// headerSize returns the size in bytes of a header as it is written in a request.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func badHeader(name string) jwdispatch.AnswerHead {
	return headerRefusal("missing or malformed header: " + name)
}

func headerRefusal(detail string) jwdispatch.AnswerHead {
	return jwdispatch.Refusal(http.StatusBadRequest, jwrequest.NotRun, jwdispatch.ReasonHeader, detail)
}

// isShortPrintable reports whether s has at most maxLength bytes, all of them
// visible ASCII characters or spaces.
func isShortPrintable(s string, maxLength int) bool {
	if len(s) > maxLength {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
