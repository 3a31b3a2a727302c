package main

import (
	"sync"
	"time"
)

// dose limits a disruption of answers as the bench's `garble` and `srv_grey` do: in episodes of a
// length, some of the runners spoil at most a share of the answers that they have made in that episode.
type dose struct {
	length, gap time.Duration
	share       float64
	runners     map[string]bool // that spoil answers

	mu      sync.Mutex
	begin   time.Time
	episode int
	made    map[string]int // answers in this episode, by runner
	spoiled map[string]int
	total   int // spoiled answers in all episodes
	all     int // answers of these runners in all episodes
}

// start begins the first episode.
func (d *dose) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begin, d.episode = time.Now(), -1
}

// answer counts an answer of a runner and reports whether it is to be spoiled. fits says whether
// this answer can be.
func (d *dose) answer(x *runner, fits bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := time.Since(d.begin)
	if d.begin.IsZero() || !d.runners[x.id] || since%(d.length+d.gap) >= d.length {
		return false
	}
	if e := int(since / (d.length + d.gap)); e != d.episode {
		d.episode, d.made, d.spoiled = e, map[string]int{}, map[string]int{}
	}
	d.made[x.id]++
	d.all++
	if !fits || float64(d.spoiled[x.id]+1) > d.share*float64(d.made[x.id]) {
		return false
	}
	d.spoiled[x.id]++
	d.total++
	return true
}

// counts returns how many answers were spoiled and how many were made, in all episodes.
func (d *dose) counts() (spoiled, made int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total, d.all
}
