package jwoperate

import (
	"net/http"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwrest"
)

// forget removes a node from the list of nodes that must confirm changes. The
// operator has to know that the node will never serve again: if it still serves
// behind a network partition, an accepted change is not in force there.
func (o *Operators) forget(w http.ResponseWriter, r *http.Request) {
	var body ForgetBody
	if !readBody(w, r, &body) {
		return
	}
	if body.Author == "" || body.Reason == "" {
		writeError(w, http.StatusUnprocessableEntity, ErrorBody{
			Error: "the edit has faults", Faults: []string{"author and reason are needed"},
		})
		return
	}
	out := Forgotten{Region: jwrest.Var(r, "region"), Node: jwrest.Var(r, "node")}
	if err := o.Members.Forget(r.Context(), out.Region, out.Node); err != nil {
		status := http.StatusGatewayTimeout
		if errors.Is(err, jwstore.ErrUnavailable) {
			status = http.StatusServiceUnavailable
		}
		w.Header().Set("Retry-After", retryAfter)
		writeError(w, status, ErrorBody{Error: err.Error()})
		return
	}
	o.Audit.Add(jwaudit.Record{
		Kind: jwaudit.Forgotten, Subject: out.Node, From: out.Region, Author: body.Author, Detail: body.Reason,
	})
	writeJSON(w, http.StatusOK, out)
}
