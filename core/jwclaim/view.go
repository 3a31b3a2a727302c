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
	// minRetention is the least time for which a segment stays, whatever it
	// holds; it has to be well above viewAge.
	minRetention = 10 * time.Minute
)

// view is what this node has read of one slot's log. Sealed segments never
// change, so only the last one has to be read again. It belongs to the
// goroutine that writes the slot.
type view struct {
	prefix      string
	segments    []segment
	tail        document // content of the last segment
	version     uint64   // of the last segment, 0 when it is not created yet
	live        map[keyHash]liveClaim
	confirmedAt time.Time // start of the last read or write that confirmed the view
	loaded      bool
}

// segment is one document of the log, oldest first.
type segment struct {
	number  uint64
	version uint64
	until   time.Time
	claims  []claimRef
}

// claimRef finds a claim of a segment among the live ones.
type claimRef struct {
	key keyHash
	id  claimID
}

// confirm makes the view as new as the store at some moment of the call.
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

// continuesWith reports whether d, which was just read in the place of the last segment
// or found missing there, is what follows the view. After a long time the
// number may have been used up and deleted by others, and what stands there, if
// anything, be a stray; a view that took it up would miss every claim between.
// Segments are deleted oldest first, so one that is known and still there
// proves that none after it is gone.
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

// lastNumber is the number of the lastNumber segment.
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
		// A hole means that a segment is missing whose claims would be
		// forgotten, and their keys run again.
		if fresh.gapBefore(n) {
			if !fresh.allExpired(start, skew) {
				return errors.Wrapf(ErrDocument, "hole before %s", item.Key)
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

// addSegment puts a new last segment behind the others.
func (v *view) addSegment(n uint64, d document, version uint64) {
	v.segments = append(v.segments, segment{number: n})
	v.tail = document{}
	v.replaceTail(d, version)
}

// replaceTail takes a later state of the last segment, which only grows.
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
	// A late release frees its own claim only: the key may have been claimed
	// again since.
	if c, ok := v.live[r.Key]; ok && c.id == r.ID {
		delete(v.live, r.Key)
	}
}

// hasClaim reports whether a claim is live.
func (v *view) hasClaim(key keyHash, id claimID) bool {
	c, ok := v.live[key]
	return ok && c.id == id
}

// find returns the live claim of a key; one that every clock within skew of
// this one takes for expired is left out.
func (v *view) find(key keyHash, now time.Time, skew time.Duration) (liveClaim, bool) {
	c, ok := v.live[key]
	if !ok || now.After(time.Unix(c.until, 0).Add(skew)) {
		return liveClaim{}, false
	}
	return c, true
}

// oldestExpired returns the oldest segment if nothing in it matters to any node; the
// last two are never given up, so that the log never starts again at 1.
func (v *view) oldestExpired(now time.Time, skew time.Duration) (segment, bool) {
	if len(v.segments) < 3 || !now.After(v.segments[0].until.Add(2*skew)) {
		return segment{}, false
	}
	return v.segments[0], true
}

// dropOldest forgets the oldest segment.
func (v *view) dropOldest() {
	for _, r := range v.segments[0].claims {
		if v.hasClaim(r.key, r.id) {
			delete(v.live, r.key)
		}
	}
	v.segments = append([]segment(nil), v.segments[1:]...)
}

// elapsed is the time between two moments by the clock that shows more: the
// monotonic one stands still while a machine is suspended, and the other can
// be set back.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
