package jwnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwdrain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwforward"
)

// joinPollInterval is the interval at which a joining node checks whether the
// client directory has arrived.
const joinPollInterval = 200 * time.Millisecond

// runLifecycle joins the system, serves until the context stop ends or the node
// may no longer serve, and leaves. The parts of the node run until work ends.
func (n *Node) runLifecycle(stop, work context.Context) error {
	joinCtx, cancel := context.WithCancel(work)
	defer cancel()
	joinEnded := make(chan error, 1)
	go func() { joinEnded <- n.join(joinCtx) }()
	var err error
	select {
	case <-stop.Done():
		cancel()
		<-joinEnded
	case err = <-joinEnded:
	case <-work.Done():
		return nil
	}
	n.leave(work)
	return err
}

// join waits for the directory and the catalogue, starts serving, and keeps the
// membership until ctx ends. After a pause that was too long it joins again. It
// returns an error when another process has this node's name, since other nodes
// would then take that process's state for this one's.
func (n *Node) join(ctx context.Context) error {
	for n.board.Directory.Current() == nil {
		select {
		case <-time.After(joinPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
	for {
		if err := n.membership.Join(ctx); err != nil {
			return ignoreEnd(ctx, err)
		}
		n.pauseDetector.Reset()
		n.serving.Store(true)
		n.setState(jwpeer.Serving)
		err := n.keepMembership(ctx)
		if ctx.Err() != nil || !errors.Is(err, jwclock.ErrPaused) {
			return ignoreEnd(ctx, err)
		}
		n.serving.Store(false)
		n.setState(jwpeer.Joining)
	}
}

// keepMembership maintains the member record. It returns when ctx ends, when
// another process has this node's name, or when this one was paused for too
// long.
func (n *Node) keepMembership(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.membership.Run(ctx) })
	g.Go(func() error { return n.pauseDetector.Run(ctx) })
	return g.Wait()
}

// ready reports whether the node may serve: it has joined and was not paused.
func (n *Node) ready() bool { return n.serving.Load() && n.pauseDetector.Valid() }

// ignoreEnd returns nil instead of err if ctx has ended.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// leave carries out the planned stop: callers are sent to other hosts, requests
// in flight are finished, a successor takes over the tickets, and the other
// nodes learn that this one is gone.
func (n *Node) leave(ctx context.Context) {
	n.serving.Store(false)
	switch err := n.drain.Run(ctx); {
	case errors.Is(err, jwdrain.ErrNoSuccessor):
		// The last node of a region has no successor.
		n.Log.Info("stopped without a successor: the outcome of requests with this node's tickets is unknown from now on", "reason", err.Error())
	case err != nil:
		n.Log.Error(err, "stop finished with errors")
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.membership.Leave(ctx); err != nil {
		// The gatherer of the region no longer waits for this node once it has
		// seen its last state.
		n.Log.Error(err, "member record not removed")
	}
}

// leaveTimeout bounds the wait for the platform at the very end of a stop.
const leaveTimeout = 3 * time.Second

// drainChanged reports the progress of the stop to the other nodes and the audit
// trail.
func (n *Node) drainChanged(s jwdrain.State) {
	switch s {
	case jwdrain.Leaving:
		n.setState(jwpeer.Leaving)
		n.callers.Drain()
	case jwdrain.HandedOver:
		n.Audit.Add(jwaudit.Record{Kind: jwaudit.Handover, Subject: n.self.Node, To: "handedOver"})
	case jwdrain.Gone:
		n.setState(jwpeer.Gone)
		// Give the exchanges time to send the last state.
		time.Sleep(finalExchangeWait)
	}
}

// finalExchangeWait is how long a stopping node waits for its exchanges to send the
// other nodes its last state.
const finalExchangeWait = 500 * time.Millisecond

// successors returns the other serving nodes of the region in random order.
func (n *Node) successors() []jwclaim.Successor {
	peers := otherServingPeers(&n.board.Peers, n.self.Region, n.self.Node)
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	var out []jwclaim.Successor
	for _, p := range peers {
		out = append(out, jwforward.Successor{Pool: n.pool, Peer: p})
	}
	return out
}
