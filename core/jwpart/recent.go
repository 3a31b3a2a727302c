package jwpart

import "time"

const (
	// recentTime is how long a part counts as recently served at least, and maxRecent the number of
	// parts from which on it may be less.
	recentTime = 5 * time.Minute
	maxRecent  = 4096
)

// recentParts holds parts that were served recently, in two generations so that old ones leave without
// being looked for. The zero value is empty.
type recentParts struct {
	young, old map[ID]struct{}
	since      time.Time // when young was begun
}

func (r *recentParts) add(now time.Time, parts []ID) {
	if r.young == nil || len(r.young) >= maxRecent || now.Sub(r.since) >= recentTime {
		r.young, r.old, r.since = make(map[ID]struct{}), r.young, now
	}
	for _, p := range parts {
		r.young[p] = struct{}{}
	}
}

func (r *recentParts) has(p ID) bool {
	_, young := r.young[p]
	_, old := r.old[p]
	return young || old
}
