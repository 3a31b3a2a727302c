package jwgateway

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	"jujubewheel/core/jwwaitroom"
	"jujubewheel/io/jwmeter"
)

// roomLevels is how many levels of ranks have series of their own.
const roomLevels = 3

// roomMetrics holds the metrics of the waiting room. Its series are registered at first use, so that
// there are none without overload control.
type roomMetrics struct {
	meter   *jwmeter.Meter
	once    sync.Once
	used    atomic.Bool
	waiting [roomLevels]tally.Gauge
	waits   [roomLevels]tally.Histogram
	dropped map[jwwaitroom.Reason]tally.Counter
	bytes   tally.Gauge
}

func (r *roomMetrics) register() {
	r.once.Do(func() {
		r.bytes, r.dropped = r.meter.Gauge("waiting_room_bytes", nil), make(map[jwwaitroom.Reason]tally.Counter)
		for level := range roomLevels {
			tags := jwmeter.Tags{"priority": strconv.Itoa(level)}
			r.waiting[level] = r.meter.Gauge("waiting_requests", tags)
			r.waits[level] = r.meter.Durations("waiting_room_seconds", tags)
		}
		for reason, label := range map[jwwaitroom.Reason]string{
			jwwaitroom.Expired: "expired", jwwaitroom.Displaced: "displaced", jwwaitroom.Full: "full", jwwaitroom.Stopping: "stopping",
		} {
			r.dropped[reason] = r.meter.Counter("waiting_room_dropped_total", jwmeter.Tags{"reason": label})
		}
		r.used.Store(true)
	})
}

func roomLevel(rank int) int { return min(max(rank, 0)/prioritiesPerLevel, roomLevels-1) }

func (r *roomMetrics) recordWait(priority int, d time.Duration) {
	r.register()
	r.waits[roomLevel(priority)].RecordDuration(d)
}

// drop counts a request that the room has not taken or has dropped.
func (r *roomMetrics) drop(reason jwwaitroom.Reason) {
	r.register()
	if c := r.dropped[reason]; c != nil {
		c.Inc(1)
	}
}

func (r *roomMetrics) update(l jwwaitroom.Load) {
	if l.Requests == 0 && !r.used.Load() {
		return
	}
	r.register()
	var counts [roomLevels]int
	for priority, n := range l.ByPriority {
		counts[roomLevel(priority)] += n
	}
	for level, n := range counts {
		r.waiting[level].Update(float64(n))
	}
	r.bytes.Update(float64(l.Bytes))
}
