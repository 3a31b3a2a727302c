package jwinstance

import (
	"math"
	"time"
)

const (
	// curveFade is by how much each sample fades those before it: some two hundred
	// count, a few seconds of a service that is asked for much.
	sampleDecay = 0.995
	// firstBase and firstThousand are the wait for the first event of an idle
	// engine and what each thousand tokens that are read before it add, until calls
	// have shown it.
	initialBase        = 15 * time.Millisecond
	initialPerThousand = 33 * time.Millisecond
	// firstWeight is how many samples this stands for.
	initialWeight = 4.0
	// leastBase and leastThousand bound what is learned: an engine that seems to
	// read a prompt in no time has kept it without being known to.
	minBase        = time.Millisecond
	minPerThousand = time.Millisecond
	// mostSample bounds a sample, in multiples of what was expected, as one stall
	// doesn't show how an engine reads.
	maxSampleRatio = 4.0
)

// terms is how many terms a curve has: the base, the thousands of tokens that are
// read before the first event, and the square of the prompt's own, as later tokens of
// a long prompt take longer than the first.
const numTerms = 3

// curve is what calls showed of the wait for the first event: a least-squares fit
// over the samples, of which later ones count more. The zero value expects
// firstBase and firstThousand.
type latencyModel struct {
	normalMatrix [numTerms][numTerms]float64
	rightSide    [numTerms]float64
	coefficients [numTerms]float64 // milliseconds a term
}

func (c *latencyModel) initialize() {
	if c.coefficients[0] != 0 {
		return
	}
	c.coefficients = [numTerms]float64{millis(initialBase), millis(initialPerThousand), 0}
	for _, thousands := range []float64{0, 10} {
		c.add([numTerms]float64{1, thousands, 0}, c.coefficients[0]+c.coefficients[1]*thousands, initialWeight/2)
	}
}

// expect returns the wait for the first event, of which own tokens belong to the
// prompt itself and ahead are read before.
func (c *latencyModel) predict(ahead, own int) time.Duration {
	c.initialize()
	return duration(c.evaluate(features(ahead, own)))
}

// read returns how long it takes to read tokens, ahead of the own ones, beside the
// base.
func (c *latencyModel) readTime(ahead, own int) time.Duration {
	c.initialize()
	return duration(c.evaluate(features(ahead, own)) - c.coefficients[0])
}

// learn takes the wait of a call.
func (c *latencyModel) observe(ahead, own int, d time.Duration) {
	c.initialize()
	x := features(ahead, own)
	for i := range numTerms {
		for j := range numTerms {
			c.normalMatrix[i][j] *= sampleDecay
		}
		c.rightSide[i] *= sampleDecay
	}
	c.add(x, min(millis(d), maxSampleRatio*c.evaluate(x)), 1)
	c.solve()
}

func (c *latencyModel) add(x [numTerms]float64, y, weight float64) {
	for i := range numTerms {
		for j := range numTerms {
			c.normalMatrix[i][j] += weight * x[i] * x[j]
		}
		c.rightSide[i] += weight * x[i] * y
	}
}

// hold is how firmly each term stays where it was while the samples don't show it, as
// when all prompts are of one length: as many samples in which only that term is one,
// few against the two hundred that count.
var regularization = [numTerms]float64{0.1, 1, 20}

// solve fits the terms one after the other, each for what the others leave, which
// stays within the bounds and moves towards the least squares with every sample.
func (c *latencyModel) solve() {
	minCoefficients := [numTerms]float64{millis(minBase), millis(minPerThousand), 0}
	const rounds = 4
	for range rounds {
		for i := range numTerms {
			residual := c.rightSide[i] + regularization[i]*c.coefficients[i]
			for j := range numTerms {
				if j != i {
					residual -= c.normalMatrix[i][j] * c.coefficients[j]
				}
			}
			c.coefficients[i] = math.Max(residual/(c.normalMatrix[i][i]+regularization[i]), minCoefficients[i])
		}
	}
}

func (c *latencyModel) evaluate(x [numTerms]float64) float64 {
	sum := 0.0
	for i := range numTerms {
		sum += c.coefficients[i] * x[i]
	}
	return sum
}

func features(ahead, own int) [numTerms]float64 {
	k := float64(own) / 1000
	return [numTerms]float64{1, k + float64(ahead)/1000, k * k / 100}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
