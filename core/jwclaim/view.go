package jwclaim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwstore"
)

const (
	// maxViewAge is how long a view may be used without a read of the store.
	maxViewAge = 2 * time.Minute
	// minRetention is the minimum time for which a segment is kept, whatever it
	// holds. It must be well above maxViewAge.
	minRetention = 10 * time.Minute
)

// view is what this node has read of one slot's log. Sealed segments never
// change, so only the last segment has to be read again. Only the goroutine
// that writes the slot uses it.
type view struct {
	prefix      string
	segments    []segment
	tail        document // content of the last segment
	version     uint64   // version of the last segment, 0 if it is not created yet
	live        map[keyHash]liveClaim
	confirmedAt time.Time // start of the last read or write that confirmed the view
	loaded      bool
}

// segment describes one document of the log; a view holds them oldest first.
type segment struct {
	number  uint64
	version uint64
	until   time.Time
	claims  []claimRef
}

// claimRef identifies a claim of a segment in view.live.
type claimRef struct {
	key keyHash
	id  claimID
}

// confirm updates the view to a state that the store had at some moment during
// the call.
func (v *view) confirm(ctx context.Context, s jwstore.Reader, now func() time.Time, skew time.Duration) error {
	start := now()
	if !v.loaded {
		return v.load(ctx, s, start, skew)
	}
	tooOld := elapsed(start, v.confirmedAt) > maxViewAge
	for {
		item, ok, err := s.Get(ctx, segmentKey(v.prefix, v.lastNumber()))
		if err != nil {
			return errors.Wrapf(err, "read claims: %s", v.prefix)
		}
		d := document{}
		if ok {
			if d, err = decodeDocument(item.Value); err != nil {
				return errors.Wrapf(err, "read claims: %s", item.Key)
			}
		}
		continuous := ok || v.version == 0
		if continuous && tooOld {
			continuous, err = v.continuesWith(ctx, s, d)
		}
		if err != nil {
			return err
		}
		if !continuous {
			return v.load(ctx, s, start, skew)
		}
		tooOld = false
		if item.Version != v.version {
			v.replaceTail(d, item.Version)
		}
		if !v.tail.Sealed {
			v.confirmedAt = start
			return nil
		}
		v.addSegment(v.lastNumber()+1, document{}, 0)
	}
}

// continuesWith reports whether d continues the view. d was just read under the
// number of the last segment, or is empty if nothing was stored there. After a
// long time other nodes may have filled and deleted the segment with that
// number, and what is stored there now, if anything, may be a stray segment. A
// view that took it over would miss every claim made in between. Segments are
// deleted oldest first, so a known segment that still exists proves that none
// after it has been deleted.
func (v *view) continuesWith(ctx context.Context, s jwstore.Reader, d document) (bool, error) {
	if v.version != 0 {
		return len(d.Rows) > 0 && d.Rows[0].ID == v.tail.Rows[0].ID, nil
	}
	if len(v.segments) < 2 {
		return false, nil
	}
	_, ok, err := s.Get(ctx, segmentKey(v.prefix, v.lastNumber()-1))
	return ok, errors.Wrapf(err, "read claims: %s", v.prefix)
}

// lastNumber returns the number of the last segment.
func (v *view) lastNumber() uint64 {
	return v.segments[len(v.segments)-1].number
}

// load reads the whole log.
func (v *view) load(ctx context.Context, s jwstore.Reader, start time.Time, skew time.Duration) error {
	items, err := s.List(ctx, v.prefix)
	if err != nil {
		return errors.Wrapf(err, "read claims: %s", v.prefix)
	}
	fresh := view{prefix: v.prefix, live: map[keyHash]liveClaim{}}
	for _, item := range items {
		n, err := segmentNumber(v.prefix, item.Key)
		if err != nil {
			return err
		}
		// A gap means that a segment is missing. Its claims would be ignored,
		// and their keys could run again.
		if fresh.gapBefore(n) {
			if !fresh.allExpired(start, skew) {
				return errors.Wrapf(ErrDocument, "segment missing before %s", item.Key)
			}
			fresh = view{prefix: v.prefix, live: map[keyHash]liveClaim{}}
		}
		d, err := decodeDocument(item.Value)
		if err != nil {
			return errors.Wrapf(err, "read claims: %s", item.Key)
		}
		fresh.addSegment(n, d, item.Version)
	}
	switch {
	case len(fresh.segments) == 0:
		fresh.addSegment(1, document{}, 0)
	case fresh.tail.Sealed:
		fresh.addSegment(fresh.lastNumber()+1, document{}, 0)
	}
	fresh.confirmedAt, fresh.loaded = start, true
	*v = fresh
	return nil
}

func (v *view) gapBefore(n uint64) bool {
	return len(v.segments) > 0 && v.lastNumber()+1 != n
}

func (v *view) allExpired(now time.Time, skew time.Duration) bool {
	for _, s := range v.segments {
		if !now.After(s.until.Add(2 * skew)) {
			return false
		}
	}
	return true
}

// addSegment appends a new last segment.
func (v *view) addSegment(n uint64, d document, version uint64) {
	v.segments = append(v.segments, segment{number: n})
	v.tail = document{}
	v.replaceTail(d, version)
}

// replaceTail replaces the last segment by a later state of it. Rows are only
// ever appended to a segment.
func (v *view) replaceTail(d document, version uint64) {
	knownRows := len(v.tail.Rows)
	if knownRows > len(d.Rows) {
		knownRows = 0
	}
	last := &v.segments[len(v.segments)-1]
	for _, r := range d.Rows[knownRows:] {
		v.apply(r, d.Holders)
		if !r.Release {
			last.claims = append(last.claims, claimRef{key: r.Key, id: r.ID})
		}
	}
	v.tail, v.version = d, version
	last.version = version
	last.until = time.Unix(d.Until, 0)
}

func (v *view) apply(r row, holders []Holder) {
	if !r.Release {
		v.live[r.Key] = liveClaim{id: r.ID, body: r.Body, holder: &holders[r.Holder], until: r.Until}
		return
	}
	// A late release removes only its own claim: the key may have been claimed
	// again since.
	if c, ok := v.live[r.Key]; ok && c.id == r.ID {
		delete(v.live, r.Key)
	}
}

// hasClaim reports whether the claim id of key is live.
func (v *view) hasClaim(key keyHash, id claimID) bool {
	c, ok := v.live[key]
	return ok && c.id == id
}

// find returns the live claim of a key. It leaves out a claim that has expired
// by every clock within skew of this one.
func (v *view) find(key keyHash, now time.Time, skew time.Duration) (liveClaim, bool) {
	c, ok := v.live[key]
	if !ok || now.After(time.Unix(c.until, 0).Add(skew)) {
		return liveClaim{}, false
	}
	return c, true
}

// oldestExpired returns the oldest segment if no node needs it any more. The
// last two segments are always kept, so that the log never starts again at
// number 1.
func (v *view) oldestExpired(now time.Time, skew time.Duration) (segment, bool) {
	if len(v.segments) < 3 || !now.After(v.segments[0].until.Add(2*skew)) {
		return segment{}, false
	}
	return v.segments[0], true
}

// dropOldest removes the oldest segment and its claims.
func (v *view) dropOldest() {
	for _, r := range v.segments[0].claims {
		if v.hasClaim(r.key, r.id) {
			delete(v.live, r.key)
		}
	}
	v.segments = append([]segment(nil), v.segments[1:]...)
}

// elapsed returns the time between two moments by the clock that shows more:
// the monotonic clock stands still while a machine is suspended, and the wall
// clock can be set back.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
