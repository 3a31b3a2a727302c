package jwhost

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// lists is a Lister whose list can be replaced.
type lists struct {
	current atomic.Pointer[[]Host]
}

func (l *lists) Hosts(context.Context) ([]Host, error) { return *l.current.Load(), nil }

// A list that has not changed is applied only once per reapplyInterval, but the
// time in the table is updated with each read.
func TestUnchangedListIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lists{}
		l.current.Store(&[]Host{{Name: "a"}})
		var applied atomic.Int64
		w := &Watcher{
			List: l, Table: &Table{}, Period: time.Second, Now: time.Now,
			Apply: func([]Host, time.Time) { applied.Add(1) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, applied.Load(), int64(1))
		_, taken := w.Table.Hosts()
		assert.Assert(t, time.Since(taken) <= 2*time.Second) // the time is updated though the list is unchanged
		l.current.Store(&[]Host{{Name: "b"}})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, applied.Load(), int64(2))
		time.Sleep(reapplyInterval + 3*time.Second)
		synctest.Wait()
		assert.Equal(t, applied.Load(), int64(3))
		cancel()
		<-done
	})
}
