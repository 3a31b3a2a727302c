package jwpart

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1000, 0)

func after(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80)
}

// history drives a table through crashes and served requests.
type history struct {
	*Table
	targets int
	owner   bool // the node runs the trials
}

// try begins a request with one part, as a trial if one is due.
func (h *history) try(ms int, part ID, target int) (*Run, bool) {
	_, trial, _ := h.Check(after(ms), []ID{part}, func(ID) bool { return h.owner })
	return h.Begin(after(ms), []ID{part}, address(target), nil, trial)
}

// crash lets a new target crash under requests with the given parts, which have not begun.
func (h *history) crash(ms int, requests ...[]ID) {
	h.crashAfter(ms, 0, requests...)
}

// crashAfter is like crash, for requests whose answers have begun some time before.
func (h *history) crashAfter(ms, begunBefore int, requests ...[]ID) {
	h.targets++
	var runs []*Run
	for _, parts := range requests {
		if r, ok := h.Begin(after(ms-begunBefore), parts, address(h.targets), nil, false); ok {
			if begunBefore > 0 {
				r.Begun(after(ms - begunBefore))
			}
			runs = append(runs, r)
		}
	}
	h.Crashed(after(ms), address(h.targets), fmt.Sprint("t", h.targets))
	for _, r := range runs {
		r.End(after(ms), false)
	}
}

func (h *history) serve(ms int, parts ...ID) {
	h.targets++
	if r, ok := h.Begin(after(ms), parts, address(h.targets), nil, false); ok {
		r.End(after(ms), true)
	}
}

// A part that crashes targets must be found whatever else its requests hold, and no other part may be
// barred, whatever else makes targets crash.
func TestBars(t *testing.T) {
	const bad, shared, s1, s2, s3 = 9, 1, 11, 12, 13
	cases := map[string]struct {
		do   func(h *history)
		want []ID // of bad, shared, s1
	}{
		"the third crash": {func(h *history) {
			h.crash(1000, []ID{shared, bad}, []ID{shared, s1})
			h.serve(1100, shared)
			h.crash(2000, []ID{shared, bad}, []ID{shared, s2})
			h.serve(2100, shared)
			h.crash(3000, []ID{shared, bad})
		}, []ID{bad}},
		"two crashes": {func(h *history) {
			h.crash(1000, []ID{bad})
			h.crash(2000, []ID{bad})
		}, nil},
		"the shared part is served in the meantime": {func(h *history) {
			for i := range 10 {
				h.crash(1000*i, []ID{shared, ID(100 + i)})
				h.serve(1000*i+500, shared)
			}
		}, nil},
		"nothing is served, and both are in each crash": {func(h *history) {
			for i := range 4 {
				h.crash(1000*i, []ID{shared, bad})
			}
		}, nil},
		"they can't be told apart": {func(h *history) {
			for i := range 5 {
				h.crash(1000*i, []ID{shared, bad})
			}
		}, []ID{shared, bad}},
		"the shared part is served later": {func(h *history) {
			for i := range 4 {
				h.crash(1000*i, []ID{shared, bad})
			}
			h.serve(3500, shared)
		}, []ID{bad}},
		"a session that happens to be there": {func(h *history) {
			for i := range 3 {
				h.crash(1000*i, []ID{shared, bad}, []ID{shared, s1})
			}
			h.serve(2500, shared)
			h.crash(3000, []ID{shared, bad}, []ID{shared, s2})
		}, []ID{bad}},
		"a session that is barred with it is explained by it": {func(h *history) {
			for i := range 4 {
				h.crash(1000*i, []ID{bad, s1})
			}
			h.crash(4000, []ID{bad}, []ID{s3})
		}, []ID{bad}},
		"two parts crash targets": {func(h *history) {
			for i := range 4 {
				h.crash(2000*i, []ID{bad})
				h.crash(2000*i+1000, []ID{s1})
			}
			h.crash(9000, []ID{bad})
			h.crash(10000, []ID{s1})
		}, []ID{s1, bad}},
		"a rack fails": {func(h *history) {
			for i := range 20 {
				h.crash(1000+5*i, []ID{shared, s1})
			}
		}, nil},
		"answers that had begun long before": {func(h *history) {
			for i := range 5 {
				h.crashAfter(3000*i, 2000, []ID{shared, s1})
			}
		}, nil},
		"answers that had just begun": {func(h *history) {
			for i := range 3 {
				h.crashAfter(3000*i, 499, []ID{bad})
			}
		}, []ID{bad}},
		"answers that had begun a while before": {func(h *history) {
			for i := range 5 {
				h.crashAfter(3000*i, 500, []ID{s1})
			}
		}, nil},
		"more of them": {func(h *history) {
			for i := range 6 {
				h.crashAfter(3000*i, 500, []ID{bad})
			}
		}, []ID{bad}},
		"a part that was served before": {func(h *history) {
			h.serve(0, bad)
			for i := range 5 {
				h.crash(1000+1000*i, []ID{bad})
			}
		}, nil},
		"more crashes of such a part": {func(h *history) {
			h.serve(0, bad)
			for i := range 6 {
				h.crash(1000+1000*i, []ID{bad})
			}
		}, []ID{bad}},
		"all targets crash, and the shared part was served before": {func(h *history) {
			h.serve(0, shared)
			for i := range 3 {
				h.crash(1000+1000*i, []ID{shared, bad})
			}
		}, []ID{bad}},
		"one target, reported several times": {func(h *history) {
			h.crash(1000, []ID{bad})
			for i := range 5 {
				h.targets--
				h.crash(1000+200*i, []ID{bad})
			}
		}, nil},
		"crashes far apart": {func(h *history) {
			for i := range 5 {
				h.crash(i*400_000, []ID{bad})
			}
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &history{Table: &Table{}}
			c.do(h)
			var got []ID
			for _, p := range []ID{shared, bad, s1, s2, s3} {
				if h.bars[p] != nil {
					got = append(got, p)
				}
			}
			assert.Equal(t, fmt.Sprint(sorted(got)), fmt.Sprint(sorted(c.want)))
		})
	}
}

// A bar that is wrong must end, and one that is right may cost three more targets in all.
func TestTrials(t *testing.T) {
	const bad = 9
	barredAfter := func(own bool) *history {
		h := &history{Table: &Table{}, owner: own}
		for i := range 3 {
			h.crash(1000*i, []ID{bad})
		}
		return h
	}
	ms := func(d time.Duration) int { return int(d.Milliseconds()) }

	h := barredAfter(false)
	_, ok := h.try(ms(time.Hour), bad, 1)
	assert.Assert(t, !ok, "only the owner runs trials")

	h = barredAfter(true)
	bar, trial, retryAfter := h.Check(after(2000), []ID{bad}, func(ID) bool { return true })
	assert.Assert(t, !trial)
	assert.Equal(t, bar.Crashes, 3)
	assert.Equal(t, retryAfter, trialWaits[1])
	at := 2000
	for i, wait := range trialWaits {
		_, ok := h.try(at+ms(wait)-1, bad, 100)
		assert.Assert(t, !ok, "trial %d began too early", i)
		at += ms(wait)
		r, ok := h.try(at, bad, 100+i)
		assert.Assert(t, ok)
		_, second := h.try(at, bad, 200)
		assert.Assert(t, !second, "two requests try at once")
		h.Crashed(after(at), address(100+i), fmt.Sprint("trial", i))
		r.End(after(at), false)
	}
	_, ok = h.try(at+ms(10*time.Hour), bad, 1)
	assert.Assert(t, !ok)

	h = barredAfter(true)
	r, ok := h.try(2000+ms(trialWaits[0]), bad, 100)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r.End(after(2100+ms(trialWaits[0])), true), []ID{bad})
	_, ok = h.try(2200+ms(trialWaits[0]), bad, 100)
	assert.Assert(t, ok)

	h = barredAfter(true)
	h.MergeUpdate("other", Update{Crashes: []Crash{
		{Incarnation: "o1", Age: time.Second, Suspects: []Suspect{{Part: bad}}}, {Incarnation: "o2", Suspects: []Suspect{{Part: bad}}},
	}}, after(4000))
	_, ok = h.try(4000+ms(trialWaits[1])-1, bad, 100)
	assert.Assert(t, !ok, "there is no early trial of a part with much evidence against it")
	_, ok = h.try(4000+ms(trialWaits[1]), bad, 100)
	assert.Assert(t, ok)
}

// So many targets crash that not all crashes can be remembered. The bar must stay.
func TestBarOutlastsOtherCrashes(t *testing.T) {
	h := &history{Table: &Table{}}
	for i := range 3 {
		h.crash(1000*i, []ID{9})
	}
	for i := range 2 * maxCrashes {
		h.crash(3000+300*i, []ID{ID(1000 + i)})
	}
	assert.Assert(t, h.bars[9] != nil)
	assert.Assert(t, len(h.crashes) <= maxCrashes)
}

func sorted(list []ID) []ID {
	slices.Sort(list)
	return list
}

// A target restarts under its identifier, and crashes again before its registration shows another start.
func TestCrashesOfOneIncarnationSecondsApart(t *testing.T) {
	cases := map[string]struct {
		apart int
		want  int
	}{
		"noticed by two nodes": {900, 1},
		"after a restart":      {1100, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{}
			for i := range 3 {
				at := after(c.apart * i)
				if c.want == 1 {
					at = after(c.apart * i / 2)
				}
				r, _ := table.Begin(at, []ID{9}, address(1), nil, false)
				table.Crashed(at, address(1), "t1")
				r.End(at, false)
			}
			assert.Equal(t, len(table.crashes), c.want)
			assert.Equal(t, table.Bars(), c.want/3)
		})
	}
}
