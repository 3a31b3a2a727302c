package jwload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwstand"
)

func TestAudit(t *testing.T) {
	const served, notRun, unknown = jwrequest.Served, jwrequest.NotRun, jwrequest.Unknown
	keyed := Arrival{ID: "1", Key: "k", Region: "r1"}
	plain := Arrival{ID: "1", Region: "r1"}
	bound := Arrival{ID: "1", Region: "r1", Bound: true}
	one := []jwstand.Run{{RequestID: "1"}}
	oneKeyed := []jwstand.Run{{RequestID: "1-again", Key: "k"}}
	tests := map[string]struct {
		arrival  Arrival
		outcomes []jwrequest.Outcome
		runs     map[string][]jwstand.Run
		want     Audit
	}{
		"served once":   {plain, []jwrequest.Outcome{served}, map[string][]jwstand.Run{"r1": one}, Audit{Runs: 1}},
		"not run":       {plain, []jwrequest.Outcome{notRun}, nil, Audit{}},
		"false not run": {plain, []jwrequest.Outcome{notRun}, map[string][]jwstand.Run{"r1": one}, Audit{Runs: 1, FalseNotRun: 1}},
		"false served":  {plain, []jwrequest.Outcome{served}, nil, Audit{FalseServed: 1}},
		"unknown never contradicts a run": {
			plain, []jwrequest.Outcome{unknown}, map[string][]jwstand.Run{"r1": one}, Audit{Runs: 1},
		},
		"a retry without a key is allowed": {
			plain, []jwrequest.Outcome{served}, map[string][]jwstand.Run{"r1": one, "r2": one}, Audit{Runs: 2},
		},
		"a resumed stream is one run": {
			plain,
			[]jwrequest.Outcome{served},
			map[string][]jwstand.Run{"r1": {{RequestID: "1"}, {RequestID: "1", Resumed: true}}},
			Audit{Runs: 1},
		},
		"a key that ran twice": {
			keyed, []jwrequest.Outcome{served, served}, map[string][]jwstand.Run{"r1": oneKeyed, "r2": oneKeyed}, Audit{Runs: 2, RanTwice: 1},
		},
		"one of two sends was refused": {
			keyed, []jwrequest.Outcome{notRun, served}, map[string][]jwstand.Run{"r1": oneKeyed}, Audit{Runs: 1},
		},
		"bound data outside its region": {
			bound, []jwrequest.Outcome{served}, map[string][]jwstand.Run{"r2": one}, Audit{Runs: 1, OutsideRegion: 1},
		},
		"runs of another load": {
			plain, []jwrequest.Outcome{notRun}, map[string][]jwstand.Run{"r1": {{RequestID: "2"}}}, Audit{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var au audit
			for _, outcome := range test.outcomes {
				au.recordOutcome(test.arrival, outcome)
			}
			assert.Equal(t, *au.compare(test.runs), test.want)
			assert.Equal(t, *au.compare(test.runs), test.want, "a second call of compare returns the same")
		})
	}
}

func TestScheduleSwings(t *testing.T) {
	s := &Schedule{
		Mix: Mixes["cladagh"], Regions: []Region{{Name: "r1", Share: 1}, {Name: "r2", Share: 1}},
		Rate: 100, RateSwing: 0.9, Day: 40 * time.Second, SendTwiceShare: 1, Seed: 3,
	}
	counts := map[string]int{}
	for a := s.Next(); a.At < 40*time.Second; a = s.Next() {
		assert.Equal(t, a.SendTwice, a.Key != "")
		part := "mid"
		switch {
		case a.At < 5*time.Second || a.At > 35*time.Second:
			part = "start"
		case a.At > 15*time.Second && a.At < 25*time.Second:
			part = "middle"
		}
		counts[a.Region+" "+part]++
		counts["all"]++
	}
	assert.Check(t, counts["all"] > 3600 && counts["all"] < 4400, "%v", counts)
	assert.Check(t, counts["r1 start"] > 3*counts["r1 middle"], "%v", counts)
	assert.Check(t, counts["r2 middle"] > 3*counts["r2 start"], "%v", counts)
}

func TestBound(t *testing.T) {
	n := 0
	for i := range 1000 {
		if Bound(i, 0.12) {
			n++
		}
	}
	assert.Equal(t, n, 120)
}
