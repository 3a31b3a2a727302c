package jwclock

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends, whose error it then returns. If d is 0 or
// less, it only returns the context's error, if any.
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
