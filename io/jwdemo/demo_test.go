package jwdemo

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDemo(t *testing.T) {
	// The demo makes links, runners and the platform fail and checks the
	// answers; a failed check is its error.
	var out strings.Builder
	err := Demo{}.Run(t.Context(), &out)
	t.Log(out.String())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out.String(), "checks passed"))
}

func TestFigures(t *testing.T) {
	served := func(home, region string, complete time.Duration) answer {
		return answer{home: home, servedBy: region, status: 200, outcome: "served", completeAfter: complete}
	}
	tests := map[string]struct {
		answers []answer
		want    string
	}{
		"none": {nil, "0\t0\t0\t0\t0\t-\t-"},
		"served at home and away": {
			[]answer{served("a", "a", time.Second), served("a", "b", time.Minute), served("a", "a", time.Millisecond)},
			"3\t3\t0\t0\t1\t1s\t1m0s",
		},
		"rejected and incomplete": {
			[]answer{{status: 503, outcome: "notRun"}, {status: 200}, {status: 504, outcome: "unknown"}},
			"3\t0\t1\t2\t0\t-\t-",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, statsOf(tc.answers).row(), tc.want)
		})
	}
}

func TestVerdict(t *testing.T) {
	var out strings.Builder
	rep := &reporter{w: &out}
	rep.check(true, "one")
	assert.NilError(t, rep.result())
	rep.check(false, "two of %s", "them")
	assert.ErrorContains(t, rep.result(), "1 of 2 checks failed: two of them")
	assert.Assert(t, strings.Contains(out.String(), "FAILED: two of them"))
}
