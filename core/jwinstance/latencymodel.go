package jwinstance

import (
	"math"
	"time"
)

const (
	// sampleDecay is the factor by which the weight of all earlier samples is multiplied with each
	// new one. About two hundred samples count, which a busy service collects in a few seconds.
	sampleDecay = 0.995
	// initialBase is the assumed wait for the first event of an idle engine, and initialPerThousand
	// what each thousand tokens read before it add, until calls have been measured.
	initialBase        = 15 * time.Millisecond
	initialPerThousand = 33 * time.Millisecond
	// initialWeight is the number of samples that the initial values count as.
	initialWeight = 4.0
	// minBase and minPerThousand are lower bounds of the fitted values. An engine that seems to
	// read a prompt in no time had it cached without the estimate knowing.
	minBase        = time.Millisecond
	minPerThousand = time.Millisecond
	// maxSampleRatio bounds a sample as a multiple of the predicted value, as a single stall does
	// not show how fast an engine reads.
	maxSampleRatio = 4.0
)

// numTerms is the number of terms of the model: a constant base, the thousands of tokens read
// before the first event, and the square of the prompt's own tokens, as the later tokens of a long
// prompt take longer than the first.
const numTerms = 3

// latencyModel predicts the wait for the first event by a least-squares fit over the measured
// calls, weighted towards the latest. The zero value predicts initialBase and initialPerThousand.
type latencyModel struct {
	normalMatrix [numTerms][numTerms]float64
	rightSide    [numTerms]float64
	coefficients [numTerms]float64 // in milliseconds
}

// initialize sets the initial coefficients and samples if the model has none yet.
func (m *latencyModel) initialize() {
	if m.coefficients[0] != 0 {
		return
	}
	m.coefficients = [numTerms]float64{millis(initialBase), millis(initialPerThousand), 0}
	for _, thousands := range []float64{0, 10} {
		m.add([numTerms]float64{1, thousands, 0}, m.coefficients[0]+m.coefficients[1]*thousands, initialWeight/2)
	}
}

// predict returns the expected wait for the first event of a prompt with own tokens to be read,
// after ahead tokens of other requests.
func (m *latencyModel) predict(ahead, own int) time.Duration {
	m.initialize()
	return duration(m.evaluate(features(ahead, own)))
}

// readTime returns how long it takes to read ahead tokens of other requests and then own tokens,
// without the base.
func (m *latencyModel) readTime(ahead, own int) time.Duration {
	m.initialize()
	return duration(m.evaluate(features(ahead, own)) - m.coefficients[0])
}

// observe adds the measured wait d of a call as a sample.
func (m *latencyModel) observe(ahead, own int, d time.Duration) {
	m.initialize()
	x := features(ahead, own)
	for i := range numTerms {
		for j := range numTerms {
			m.normalMatrix[i][j] *= sampleDecay
		}
		m.rightSide[i] *= sampleDecay
	}
	m.add(x, min(millis(d), maxSampleRatio*m.evaluate(x)), 1)
	m.solve()
}

// add adds a sample y for the features x to the normal equations.
func (m *latencyModel) add(x [numTerms]float64, y, weight float64) {
	for i := range numTerms {
		for j := range numTerms {
			m.normalMatrix[i][j] += weight * x[i] * x[j]
		}
		m.rightSide[i] += weight * x[i] * y
	}
}

// regularization is the weight that holds each coefficient at its previous value while the samples
// don't determine it, as when all prompts have the same length. It counts as that many samples in
// which only that term is 1, which is few against the two hundred that count.
var regularization = [numTerms]float64{0.1, 1, 20}

// solve fits the coefficients one after the other, each to the residual of the others, as in
// Gauss-Seidel iteration. This keeps them above their minimums and moves them towards the
// least-squares solution with each sample.
func (m *latencyModel) solve() {
	minCoefficients := [numTerms]float64{millis(minBase), millis(minPerThousand), 0}
	const rounds = 4
	for range rounds {
		for i := range numTerms {
			residual := m.rightSide[i] + regularization[i]*m.coefficients[i]
			for j := range numTerms {
				if j != i {
					residual -= m.normalMatrix[i][j] * m.coefficients[j]
				}
			}
			m.coefficients[i] = math.Max(residual/(m.normalMatrix[i][i]+regularization[i]), minCoefficients[i])
		}
	}
}

// evaluate returns the value of the model for features, in milliseconds.
func (m *latencyModel) evaluate(x [numTerms]float64) float64 {
	sum := 0.0
	for i := range numTerms {
		sum += m.coefficients[i] * x[i]
	}
	return sum
}

// features returns the terms of the model for numbers of tokens.
func features(ahead, own int) [numTerms]float64 {
	thousands := float64(own) / 1000
	return [numTerms]float64{1, thousands + float64(ahead)/1000, thousands * thousands / 100}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
