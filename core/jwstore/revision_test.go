package jwstore

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRevisionsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (era, number uint64, r Revision) {
			era = rapid.Uint64Range(0, maxEra).Draw(t, "era")
			number = rapid.Uint64Range(0, maxNumber).Draw(t, "number")
			r, err := RevisionAt(era, number)
			assert.NilError(t, err)
			assert.Equal(t, Era(r), era)
			assert.Equal(t, Number(r), number)
			return era, number, r
		}
		era1, number1, r1 := draw()
		era2, number2, r2 := draw()
		assert.Equal(t, r1 < r2, era1 < era2 || era1 == era2 && number1 < number2)
	})
}

func TestRevisionOutOfRange(t *testing.T) {
	_, err := RevisionAt(maxEra+1, 1)
	assert.Assert(t, errors.Is(err, ErrRevision))
	_, err = RevisionAt(1, maxNumber+1)
	assert.Assert(t, errors.Is(err, ErrRevision))
}
