package jwaudit

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

func TestTrail(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	trail := &Trail{Node: "n1", Size: 3, Now: func() time.Time { return now }}
	assert.Equal(t, len(trail.After(0, 10)), 0)
	for i := 1; i <= 5; i++ {
		trail.Add(Record{Kind: PeerState, Subject: fmt.Sprint("n", i), From: "serving", To: "gone"})
	}
	tests := map[string]struct {
		after uint64
		limit int
		want  []uint64
	}{
		"all that is kept": {0, 10, []uint64{3, 4, 5}},
		"limited":          {0, 2, []uint64{3, 4}},
		"after one":        {3, 10, []uint64{4, 5}},
		"after the last":   {5, 10, nil},
		"from the future":  {9, 10, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got []uint64
			for _, r := range trail.After(tc.after, tc.limit) {
				got = append(got, r.Sequence)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
	last := trail.After(4, 1)[0]
	assert.DeepEqual(t, last, Record{
		Sequence: 5, Time: now, Node: "n1", Kind: PeerState, Subject: "n5", From: "serving", To: "gone",
	})
}

func TestLogLine(t *testing.T) {
	var line string
	log := funcr.New(func(_, args string) { line = args }, funcr.Options{})
	trail := &Trail{Node: "n1", Log: log}
	trail.Add(Record{Kind: Edit, Subject: "menu", Revision: 7, Author: "amal"})
	assert.Equal(t, line, `"level"=0 "msg"="edit" "sequence"=1 "subject"="menu" "author"="amal" "revision"=7`)
}

func TestNilTrail(t *testing.T) {
	var trail *Trail
	trail.Add(Record{})
	assert.Equal(t, len(trail.After(0, 1)), 0)
}
