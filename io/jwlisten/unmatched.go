package jwlisten

import (
	"net/http"
	"path"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

// reasonPath is the reason for rejecting requests that match no route.
const reasonPath jwdispatch.Reason = "path"

// notFound rejects an unknown path. The outcome and reason let a caller that
// mistyped the path distinguish this answer from a 404 of a target.
func notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, jwdispatch.Refusal(http.StatusNotFound, jwrequest.NotRun, reasonPath, "no such path"))
}

// notAllowed rejects a method that a path does not support.
func notAllowed(w http.ResponseWriter, r *http.Request) {
	allowed := http.MethodPost
	if path.Clean(r.URL.Path) == hostsPath {
		allowed = http.MethodGet
	}
	w.Header().Set("Allow", allowed)
	writeRefusal(w, jwdispatch.Refusal(http.StatusMethodNotAllowed, jwrequest.NotRun, reasonPath, "use "+allowed+" for this path"))
}
