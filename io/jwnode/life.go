package jwnode

import (
	"context"
	"math/rand/v2"
	"time"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwdrain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwforward"
)

// joinRetry is the pause between attempts to get the catalogue.
const joinRetry = 200 * time.Millisecond

// join gets the catalogue and the directory, then begins to serve.
func (n *Node) join(ctx context.Context) error {
	for {
		err := n.follower.CatchUp(ctx)
		if err == nil && n.board.Directory.Current() != nil {
			break
		}
		select {
		case <-time.After(joinRetry):
		case <-ctx.Done():
			return nil
		}
	}
	n.serving.Store(true)
	n.setState(jwpeer.Serving)
	return nil
}

// leave is the planned stop: callers are sent elsewhere, requests in flight are
// finished, a successor takes the tickets over, and the node says that it goes.
func (n *Node) leave(ctx context.Context) {
	n.serving.Store(false)
	if err := n.drain.Run(ctx); err != nil {
		n.Log.Error(err, "stop left something undone")
	}
}

// drainChanged tells the others how far the stop is.
func (n *Node) drainChanged(s jwdrain.State) {
	switch s {
	case jwdrain.Leaving:
		n.setState(jwpeer.Leaving)
		n.callers.Drain()
	case jwdrain.Gone:
		n.setState(jwpeer.Gone)
		// The exchanges need a moment to carry the last word.
		time.Sleep(lastWord)
	}
}

// lastWord is how long the exchanges have to tell the others that this node is
// gone.
const lastWord = 500 * time.Millisecond

// successors are the serving nodes of the region, in random order.
func (n *Node) successors() []jwclaim.Successor {
	peers := n.board.Peers.Select(func(p jwpeer.Peer) bool {
		return p.Region == n.self.Region && p.Name != n.self.Node && p.State == jwpeer.Serving
	})
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	var out []jwclaim.Successor
	for _, p := range peers {
		out = append(out, jwforward.Successor{Pool: n.pool, Peer: p})
	}
	return out
}
