package jwmemory

import "time"

// MinStall is how long a caller must not have read for its stream to be shed. Callers with a
// lossy connection pause for shorter than that.
const MinStall = time.Second

// Stream is an answer that a caller reads slowly.
type Stream struct {
	ID        uint64
	Resumable bool          // the caller may resume it where it broke off
	Stalled   time.Duration // since the caller last read
	Held      int64         // bytes held for it
}

// Shed returns the stream to be broken off when nothing more may be held: of those
// that callers may resume, the one whose caller has not read for longest, and of equals the one
// that holds most. It returns false if none has stalled for MinStall.
func Shed(streams []Stream) (Stream, bool) {
	var worst Stream
	found := false
	for _, s := range streams {
		if !s.Resumable || s.Stalled < MinStall || s.Held == 0 {
			continue
		}
		if !found || s.Stalled > worst.Stalled || s.Stalled == worst.Stalled && s.Held > worst.Held {
			worst, found = s, true
		}
	}
	return worst, found
}
