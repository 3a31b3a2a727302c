package jwgateway

import "sync"

// latch lets go all who wait for it once it is open; the zero value is closed.
// Two sources may tell the first configuration at the same moment, so that it may
// be opened more than once.
type latch struct {
	made, closed sync.Once
	ch           chan struct{}
}

// opened returns a channel that is closed once the latch is open.
func (l *latch) opened() <-chan struct{} {
	l.made.Do(func() { l.ch = make(chan struct{}) })
	return l.ch
}

func (l *latch) open() {
	l.opened()
	l.closed.Do(func() { close(l.ch) })
}
