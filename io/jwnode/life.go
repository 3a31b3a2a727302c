package jwnode

import (
	"context"
	"sync"
	"time"

	"jujubewheel/core/jwpeer"
)

// joinRetry is the pause between attempts to get the catalogue.
const joinRetry = 200 * time.Millisecond

// gate counts the requests in flight.
type gate struct {
	mu     sync.Mutex
	closed bool
	inside sync.WaitGroup
}

// Enter takes a request in; ok is false once the node takes no more.
func (g *gate) Enter() (done func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.inside.Add(1)
	return g.inside.Done, true
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

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
// finished, then the node says that it is gone.
func (n *Node) leave(ctx context.Context) {
	n.serving.Store(false)
	n.setState(jwpeer.Leaving)
	n.drain.close()
	n.callers.Drain()
	n.drain.inside.Wait()
	n.setState(jwpeer.Gone)
	select {
	case <-time.After(lastWord):
	case <-ctx.Done():
	}
}

// lastWord is how long the exchanges have to tell the others.
const lastWord = 500 * time.Millisecond
