package jwcommand

import (
	"strings"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrouter"
)

// reasonTexts explains why a request was rejected or failed.
var reasonTexts = map[jwdispatch.Reason]string{
	jwdispatch.ReasonEntry:       "the catalogue has no such entry",
	jwdispatch.ReasonWorkspace:   "the client directory has no such workspace",
	jwdispatch.ReasonDirectory:   "the node had no client directory yet",
	jwdispatch.ReasonKey:         "the entry is not idempotent and no Idempotency-Key came",
	jwdispatch.ReasonKeyMismatch: "the key came with another body, entry or workspace before",
	jwdispatch.ReasonTicket:      "no node of this system minted the ticket",
	jwdispatch.ReasonClaim:       "the key could not be claimed; see the claim below",
	jwdispatch.ReasonRegion:      "the data is bound to another region",
	jwdispatch.ReasonLoop:        "it had passed too many nodes or this one before",
	jwdispatch.ReasonLimit:       "the limits of the entry or the capacity of its targets were used up",
	jwdispatch.ReasonDeadline:    "its deadline passed",
	jwdispatch.ReasonNoTarget:    "no live target of the service could take it",
	jwdispatch.ReasonTarget:      "the target broke off or answered with an error",
	jwdispatch.ReasonPeer:        "the node it was forwarded to did not answer",
	jwdispatch.ReasonQuarantine:  "requests with this body crashed targets",
	jwdispatch.ReasonLeaving:     "the node was leaving or not ready",
	jwdispatch.ReasonBody:        "its body was too long, too slow or broke off",
	jwdispatch.ReasonHeader:      "a header was missing or malformed",
	jwdispatch.ReasonCaller:      "its caller disconnected",
}

// detailTexts explains the first word of a step's detail, by step and word.
var detailTexts = map[string]map[string]string{
	"place": {
		string(jwrouter.AtHome):       "the home region serves its own requests",
		string(jwrouter.CheaperHere):  "waiting here costs less than any other region",
		string(jwrouter.AlreadyMoved): "another node sent it here, so it is not sent on",
		string(jwrouter.Bound):        "its data must not leave this region",
		string(jwrouter.NotAllowed):   "the entry names no other region",
		string(jwrouter.Away):         "another region costs less",
		string(jwrouter.NoCapacity):   "this region cannot take it, another can",
		string(jwrouter.WrongRegion):  "its data is bound to another region",
		string(jwrouter.Nowhere):      "no region is known to have a target",
	},
	"target": {
		string(jwrouter.Cached):        "the target has its prefix cached and its load allows it",
		string(jwrouter.LeastExpected): "least expected time",
		string(jwrouter.Probe):         "tried again after failures",
	},
	"claim": {
		string(jwclaim.Run):              "this node alone may run it",
		string(jwclaim.Join):             "the key was in flight here; it got the same answer",
		string(jwclaim.Replay):           "the key had run; the kept answer was sent",
		string(jwclaim.AskHolder):        "another node holds the key and was asked",
		string(jwclaim.Mismatch):         "the key came with another body before",
		string(jwclaim.Unknown):          "the key may have run and never runs again",
		string(jwclaim.NotRun):           "neither this call nor an earlier one of the key ran",
		string(jwclaim.ClaimsUnreadable): "the claims could not be read; an earlier call may have run",
		string(jwclaim.Rejected):         "no node minted the ticket",
	},
}

// meaning explains the detail of a step, empty for steps that need no
// explanation.
func meaning(step, detail string) string {
	code, _, _ := strings.Cut(detail, " ")
	return detailTexts[step][code]
}
