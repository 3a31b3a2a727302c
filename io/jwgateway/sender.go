package jwgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwsender"
)

// forwardsPath is the path of the question which forwarded requests a node still waits for.
const forwardsPath = "/forwards"

const (
	// senderStep is the time between two looks at which senders are due.
	senderStep = 100 * time.Millisecond
	// senderTimeout is how long a sender may take to answer a question before that counts against it; it
	// holds two round trips to another region. A later answer still counts, as that of a busy node.
	senderTimeout = 500 * time.Millisecond
	maxQuestion   = 1 << 20
)

// errAbandoned is the cause if a stream was ended because the node that forwarded it no longer wants it.
var errAbandoned = errors.New("the sender is gone")

// forwardQuestion asks a node which of the requests that it forwarded to another one it still waits for.
type forwardQuestion struct {
	Node     string   `json:"node"`     // the node that asks
	Forwards []string `json:"requests"` // their names, see request.forwardName
}

// forwardAnswer is the answer to a forwardQuestion.
type forwardAnswer struct {
	Unwanted []string `json:"unwanted"`
}

// mayBeTakenUp reports whether the request is a stream that its caller may take up elsewhere.
func (q *request) mayBeTakenUp() bool {
	return q.ID != "" && q.entry.Kind == jwentry.Stream && q.entry.Resumable
}

// forwardName returns the name by which the node that forwarded the request knows this forward. A node of a version
// without such names knows it by the request's identifier.
func (q *request) forwardName() string {
	if q.forward != "" {
		return q.forward
	}
	return q.ID
}

// watchSender ends the returned context if the request is a stream that its caller may take up elsewhere and
// the node that forwarded it no longer wants it, or no longer answers. done must be called at the end of the
// request.
func (g *Gateway) watchSender(parent context.Context, q *request) (ctx context.Context, done func()) {
	if q.sender == "" || !q.mayBeTakenUp() {
		return parent, func() {}
	}
	ctx, cancel := context.WithCancelCause(parent)
	remove := g.senders.Add(time.Now(), q.sender, q.forwardName(), func(reason jwsender.Reason) {
		g.metrics.abandoned[reason].Inc(1)
		cancel(errors.WithMessage(errAbandoned, string(reason)))
	})
	return ctx, func() {
		remove()
		cancel(nil)
	}
}

// watchSenders asks the nodes that have forwarded streams to this one whether they still want them, until ctx
// ends.
func (g *Gateway) watchSenders(ctx context.Context) {
	for ctx.Err() == nil {
		if g.senders.Empty() {
			select {
			case <-ctx.Done():
			case <-g.senderAdded:
			}
			continue
		}
		now := time.Now()
		for _, q := range g.senders.Due(now) {
			// A sender whose address isn't known can't be asked, and isn't silent.
			if m, ok := g.members.Known(q.Sender); ok {
				go g.askSender(ctx, m, q)
			}
		}
		jwclock.Sleep(ctx, senderStep)
	}
}

// askSender asks a node which of its streams it still wants, and ends the others.
func (g *Gateway) askSender(ctx context.Context, m jwmember.Member, q jwsender.Question) {
	askedAt := time.Now()
	fail := func() {
		g.Nodes.CloseIdle(m.Nodes) // the next question goes over a new connection
		g.logAbandoned(q.Sender, jwsender.Silent, g.senders.Failed(time.Now(), q.Sender))
	}
	overdue := time.AfterFunc(senderTimeout, fail)
	a, err := g.askForwards(ctx, m, q.Forwards)
	waited := !overdue.Stop()
	switch {
	case err == nil:
		g.logAbandoned(q.Sender, jwsender.Unwanted, g.senders.Answered(askedAt, q.Sender, a.Unwanted))
	case !waited:
		fail()
	}
}

func (g *Gateway) logAbandoned(sender string, reason jwsender.Reason, streams int) {
	if streams > 0 {
		g.Log.Info("streams abandoned by the node that forwarded them", "peer", sender, "reason", string(reason), "streams", streams)
	}
}

// askForwards asks a node which of the requests it doesn't wait for. A node of a version that doesn't know the
// question answers as one that waits for all.
func (g *Gateway) askForwards(ctx context.Context, m jwmember.Member, forwards []string) (a forwardAnswer, err error) {
	body, err := json.Marshal(forwardQuestion{g.Settings.Node, forwards})
	if err != nil {
		return a, errors.Wrap(err, "encode the question for forwards")
	}
	ctx, cancel := context.WithTimeout(ctx, jwsender.MaxSilence)
	defer cancel()
	raw, err := g.nodeCall(ctx, m, http.MethodPost, forwardsPath, body)
	if err != nil {
		return a, errors.Wrapf(err, "ask %s for its forwards", m.Name)
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		g.Log.V(1).Info("answer for forwards not readable", "peer", m.Name, "error", err.Error())
		return forwardAnswer{}, nil
	}
	return a, nil
}

// serveForwardQuestion answers which of the requests this node doesn't wait for.
func (g *Gateway) serveForwardQuestion(w http.ResponseWriter, r *http.Request) {
	var q forwardQuestion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestion)).Decode(&q); err != nil {
		g.Log.Info("question for forwards not readable", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.senders.Alive(time.Now(), q.Node)
	if err := json.NewEncoder(w).Encode(forwardAnswer{g.forwards.without(q.Node, q.Forwards)}); err != nil {
		g.Log.V(1).Info("failed to answer for forwards", "peer", q.Node, "error", err.Error())
	}
}
