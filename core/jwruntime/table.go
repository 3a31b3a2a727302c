package jwruntime

import (
	"math"
	"sync"
	"time"
)

const (
	// shortest and bucketRatio give the upper bounds of the buckets: durations within one bucket differ
	// by at most that ratio.
	shortest    = 10 * time.Millisecond
	bucketRatio = 1.15
	buckets     = 64 // the last one holds all that is longer than about a minute
	// halfLife is the age at which a recorded duration counts half.
	halfLife = time.Minute
	// minWeight is the least weight of recorded durations that gives an estimate.
	minWeight = 5
	// maxKeys limits the number of kinds of requests with an estimate.
	maxKeys = 4096
)

// Key identifies requests that are expected to take alike.
type Key struct {
	Service string
	Kind    string
	Goal    time.Duration // the goal of their entry
	Away    bool          // they are forwarded to another node
}

// Table holds the durations of past requests, by key, where older ones count less. The zero value is empty. It is safe for
// concurrent use.
type Table struct {
	mu   sync.Mutex
	keys map[Key]*durations
}

type durations struct {
	weights [buckets]float64
	total   float64
	at      time.Time // when the weights were last aged
}

// Record records that a request took d.
func (t *Table) Record(now time.Time, k Key, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.keys[k]
	if s == nil {
		if t.keys == nil || len(t.keys) >= maxKeys {
			t.keys = make(map[Key]*durations)
		}
		s = &durations{at: now}
		t.keys[k] = s
	}
	s.age(now)
	s.weights[bucketOf(d)]++
	s.total++
}

// Quantile returns a duration that a part of the requests of a key didn't exceed, rounded up to a
// bucket. ok is false if too few were recorded, or if the result is longer than the buckets tell.
func (t *Table) Quantile(now time.Time, k Key, part float64) (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.keys[k]
	if s == nil {
		return 0, false
	}
	s.age(now)
	if s.total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, w := range s.weights[:buckets-1] {
		sum += w
		if sum >= part*s.total {
			return bound(i), true
		}
	}
	return 0, false
}

// age lowers the weights by the time since they were last aged.
func (s *durations) age(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	s.at = now
	f := math.Exp2(-float64(elapsed) / float64(halfLife))
	s.total = 0
	for i := range s.weights {
		s.weights[i] *= f
		s.total += s.weights[i]
	}
}

// bucketOf returns the first bucket whose bound isn't exceeded.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	n := math.Ceil(math.Log(float64(d)/float64(shortest)) / math.Log(bucketRatio))
	return min(int(n), buckets-1)
}

// bound returns the upper bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(bucketRatio, float64(i)))
}
