package jwclock

import (
	"context"
	"time"
)

// Sleep waits for d or until the context ends, whose error it then returns; a
// d of 0 or less only looks at the context.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
