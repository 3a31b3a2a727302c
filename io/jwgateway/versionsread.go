package jwgateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// versionsReadTimeout limits one read of versionsKey.
	versionsReadTimeout = 500 * time.Millisecond
	// versionsReadWait is how long a request waits for such a read before other nodes are asked to read too.
	versionsReadWait = 300 * time.Millisecond
	// versionsReadPause is the time between the beginnings of two reads in a small fleet; it grows with the fleet up
	// to maxVersionsReadPause.
	versionsReadPause    = 100 * time.Millisecond
	maxVersionsReadPause = time.Second
)

// versionsReader reads versionsKey for requests that need to know what the store has now. It makes one read at a
// time, for all requests that came before it began. The zero value is ready for use.
type versionsReader struct {
	mu      sync.Mutex
	next    *versionsRead // hasn't begun yet; nil if none is needed
	current *versionsRead // the last one that began
	begunAt time.Time     // when it began
}

// versionsRead is one read of versionsKey.
type versionsRead struct {
	done      chan struct{} // closed at its end
	byService map[string][]string
	err       error
	paused    atomic.Bool // it waits because the read before it has just been answered
}

// begin returns a read that begins after this call.
func (v *versionsReader) begin(g *Gateway) *versionsRead {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.next == nil {
		v.next = &versionsRead{done: make(chan struct{})}
		go v.read(g, v.next, v.current, v.begunAt)
	}
	return v.next
}

// read makes a read once the one before it, if any, has ended and the pause is over.
func (v *versionsReader) read(g *Gateway, r, before *versionsRead, begunAt time.Time) {
	defer close(r.done)
	if before != nil {
		<-before.done
		pause := scaleWait(versionsReadPause, g.members.Count(time.Now(), ""), maxVersionsReadPause)
		r.paused.Store(before.err == nil)
		time.Sleep(time.Until(begunAt.Add(pause)))
		r.paused.Store(false)
	}
	v.mu.Lock()
	v.next, v.current, v.begunAt = nil, r, time.Now()
	v.mu.Unlock()
	r.byService, r.err = g.readVersions()
	g.metrics.countVersionsRead(r.err == nil)
	if r.err != nil {
		g.Log.Info("failed to read the versions of services", "error", r.err.Error())
	}
}

// readVersions reads versionsKey. The result is nil if it isn't stored.
func (g *Gateway) readVersions() (byService map[string][]string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), versionsReadTimeout)
	defer cancel()
	p, err := g.Feed.Range(ctx, versionsKey, "")
	if err != nil {
		return nil, err
	}
	for _, i := range p.Items {
		if i.Key == versionsKey {
			err = json.Unmarshal(i.Value, &byService)
		}
	}
	return byService, errors.Wrap(err, "decode the versions of services")
}

// await waits for the end of the read, at most for d, and returns which versions of a service the store had. It
// returns false if the store hasn't answered.
func (r *versionsRead) await(ctx context.Context, d time.Duration, service string) (versionsOf, bool) {
	ctx, cancel := context.WithTimeout(ctx, max(d, 0))
	defer cancel()
	select {
	case <-r.done:
	default:
		select {
		case <-r.done:
		case <-ctx.Done():
			return versionsOf{}, false
		}
	}
	if r.err != nil {
		return versionsOf{}, false
	}
	switch list := r.byService[service]; len(list) {
	case 0:
		return versionsOf{}, true
	case 1:
		return versionsOf{soleVersion, list[0]}, true
	}
	return versionsOf{Known: severalVersions}, true
}

// answer waits for the end of the read and returns what it says to a node that asked for the versions of a service.
func (r *versionsRead) answer(ctx context.Context, service string) originAnswer {
	v, ok := r.await(ctx, versionsReadWait, service)
	if !ok {
		return originAnswer{StoreSilent: !r.paused.Load()}
	}
	return originAnswer{Stored: &v}
}
