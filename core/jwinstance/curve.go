package jwinstance

import (
	"math"
	"time"
)

const (
	// curveFade is by how much each sample fades those before it: some two hundred
	// count, a few seconds of a service that is asked for much.
	curveFade = 0.995
	// firstBase and firstThousand are the wait for the first event of an idle
	// engine and what each thousand tokens that are read before it add, until calls
	// have shown it.
	firstBase     = 15 * time.Millisecond
	firstThousand = 33 * time.Millisecond
	// firstWeight is how many samples this stands for.
	firstWeight = 4.0
	// leastBase and leastThousand bound what is learned: an engine that seems to
	// read a prompt in no time has kept it without being known to.
	leastBase     = time.Millisecond
	leastThousand = time.Millisecond
	// mostSample bounds a sample, in multiples of what was expected, as one stall
	// doesn't show how an engine reads.
	mostSample = 4.0
)

// terms is how many terms a curve has: the base, the thousands of tokens that are
// read before the first event, and the square of the prompt's own, as later tokens of
// a long prompt take longer than the first.
const terms = 3

// curve is what calls showed of the wait for the first event: a least-squares fit
// over the samples, of which later ones count more. The zero value expects
// firstBase and firstThousand.
type curve struct {
	normal [terms][terms]float64
	right  [terms]float64
	fit    [terms]float64 // milliseconds a term
}

func (c *curve) begin() {
	if c.fit[0] != 0 {
		return
	}
	c.fit = [terms]float64{millis(firstBase), millis(firstThousand), 0}
	for _, thousands := range []float64{0, 10} {
		c.add([terms]float64{1, thousands, 0}, c.fit[0]+c.fit[1]*thousands, firstWeight/2)
	}
}

// expect returns the wait for the first event, of which own tokens belong to the
// prompt itself and ahead are read before.
func (c *curve) expect(ahead, own int) time.Duration {
	c.begin()
	return duration(c.value(features(ahead, own)))
}

// read returns how long it takes to read tokens, ahead of the own ones, beside the
// base.
func (c *curve) read(ahead, own int) time.Duration {
	c.begin()
	return duration(c.value(features(ahead, own)) - c.fit[0])
}

// learn takes the wait of a call.
func (c *curve) learn(ahead, own int, d time.Duration) {
	c.begin()
	x := features(ahead, own)
	for i := range terms {
		for j := range terms {
			c.normal[i][j] *= curveFade
		}
		c.right[i] *= curveFade
	}
	c.add(x, min(millis(d), mostSample*c.value(x)), 1)
	c.solve()
}

func (c *curve) add(x [terms]float64, y, weight float64) {
	for i := range terms {
		for j := range terms {
			c.normal[i][j] += weight * x[i] * x[j]
		}
		c.right[i] += weight * x[i] * y
	}
}

// hold is how firmly each term stays where it was while the samples don't show it, as
// when all prompts are of one length: as many samples in which only that term is one,
// few against the two hundred that count.
var hold = [terms]float64{0.1, 1, 20}

// solve fits the terms one after the other, each for what the others leave, which
// stays within the bounds and moves towards the least squares with every sample.
func (c *curve) solve() {
	least := [terms]float64{millis(leastBase), millis(leastThousand), 0}
	const rounds = 4
	for range rounds {
		for i := range terms {
			rest := c.right[i] + hold[i]*c.fit[i]
			for j := range terms {
				if j != i {
					rest -= c.normal[i][j] * c.fit[j]
				}
			}
			c.fit[i] = math.Max(rest/(c.normal[i][i]+hold[i]), least[i])
		}
	}
}

func (c *curve) value(x [terms]float64) float64 {
	sum := 0.0
	for i := range terms {
		sum += c.fit[i] * x[i]
	}
	return sum
}

func features(ahead, own int) [terms]float64 {
	k := float64(own) / 1000
	return [terms]float64{1, k + float64(ahead)/1000, k * k / 100}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
