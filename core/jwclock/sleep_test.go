package jwclock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleep(t *testing.T) {
	tests := map[string]struct {
		d, deadline, want time.Duration
		err               error
	}{
		"full sleep":            {d: time.Second, deadline: time.Minute, want: time.Second},
		"context ends first":    {d: time.Minute, deadline: time.Second, want: time.Second, err: context.DeadlineExceeded},
		"no time":               {deadline: time.Second},
		"negative":              {d: -time.Second, deadline: time.Second},
		"context already ended": {deadline: -time.Second, err: context.DeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), test.deadline)
				defer cancel()
				started := time.Now()
				assert.Equal(t, Sleep(ctx, test.d), test.err)
				assert.Equal(t, time.Since(started), test.want)
			})
		})
	}
}
