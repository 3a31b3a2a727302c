package jwlisten

import (
	"net/http"
	"path"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

// reasonPath is the reason of refusals of requests that no route takes.
const reasonPath jwdispatch.Reason = "path"

// notFound refuses an unknown path. A caller that mistyped it must be able to
// tell the answer from that of a target, which has a 404 of its own.
func notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, jwdispatch.Refusal(http.StatusNotFound, jwrequest.NotRun, reasonPath, "no such path"))
}

// notAllowed refuses a method that a path does not take.
func notAllowed(w http.ResponseWriter, r *http.Request) {
	allowed := http.MethodPost
	if path.Clean(r.URL.Path) == hostsPath {
		allowed = http.MethodGet
	}
	w.Header().Set("Allow", allowed)
	writeRefusal(w, jwdispatch.Refusal(http.StatusMethodNotAllowed, jwrequest.NotRun, reasonPath, "use "+allowed+" for this path"))
}
