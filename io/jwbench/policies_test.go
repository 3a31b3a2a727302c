package jwbench

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testLength includes all faults of the scenarios and is short enough for runs
// with the race detector.
const testLength = 160 * time.Second

// runTestScenario runs a scenario of the first deployment for testLength with
// one seed.
func runTestScenario(t *testing.T, name string, p policy) *Result {
	t.Helper()
	for _, s := range scenarios() {
		if s.Name == name {
			s.RunTime = testLength
			return runScenario(deployments()[0], s, p, 1)
		}
	}
	t.Fatalf("no scenario %s", name)
	return nil
}

func ablation(t *testing.T, name string) policy {
	t.Helper()
	for _, p := range ablations {
		if p.name == name {
			return p
		}
	}
	t.Fatalf("no ablation %s", name)
	return policy{}
}

// Each part of the policy handles one kind of overload or failure. Without the
// part, users get late or rejected answers, more crashes or higher costs in the
// scenario with that failure.
func TestEachPartImprovesResults(t *testing.T) {
	tests := map[string]struct {
		scenario, without string
		worse             func(r *Result) float64
	}{
		"prefixes kept together make answers cheaper": {"plainPeak", "noAffinity", (*Result).CostPerAnswer},
		"slow runners are avoided":                    {"greyRunner", "noPace", func(r *Result) float64 { return float64(r.Late) }},
		"what cannot be in time is rejected":          {"offsetPeak2.0", "noDeadline", func(r *Result) float64 { return float64(r.Late) }},
		"urgent classes get through":                  {"offsetPeak2.0", "noClasses", func(r *Result) float64 { return float64(r.NotRun) }},
		"one owner does not take all":                 {"ownerBurst", "noOwners", func(r *Result) float64 { return float64(r.NotRun) }},
		"a poison request is stopped":                 {"poison", "noSuspects", func(r *Result) float64 { return float64(r.Crashes) }},
		"a full region sends away":                    {"tenfold", "noSecond", func(r *Result) float64 { return float64(r.NotRun) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			with := runTestScenario(t, test.scenario, projectPolicy)
			less := runTestScenario(t, test.scenario, ablation(t, test.without))
			assert.Assert(t, test.worse(with) < test.worse(less), "%v with, %v without", test.worse(with), test.worse(less))
			assert.Equal(t, with.BoundViolations, 0)
		})
	}
}

// A caller repeatedly sends a request that crashes every runner that starts it.
// It must be quarantined after two crashes.
func TestPoisonTakesDownTwoRunners(t *testing.T) {
	assert.Equal(t, runTestScenario(t, "poison", projectPolicy).Crashes, 2)
}

// Two runs with the same seed give the same figures; otherwise no figure could
// be reproduced.
func TestRunsAreDeterministic(t *testing.T) {
	var a, b strings.Builder
	cfg := Config{Seeds: []uint64{5}, Scenarios: []string{"lossAndReturn"}, Deployments: []string{"cladagh"}, Policies: []string{"jujubewheel"}}
	assert.NilError(t, Policies(&a, cfg))
	assert.NilError(t, Policies(&b, cfg))
	assert.Equal(t, a.String(), b.String())
}

func TestPoliciesUnknownScenario(t *testing.T) {
	assert.ErrorContains(t, Policies(&strings.Builder{}, Config{Scenarios: []string{"none"}}), "no scenario")
}

func TestPlot(t *testing.T) {
	var b strings.Builder
	err := Plot(&b, Config{Seeds: []uint64{1}, Deployments: []string{"zaitoun"}, Scenarios: []string{"offsetPeak0.5"}, Policies: []string{"jujubewheel", "random"}})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(b.String(), "zaitoun: answers in time, %"))
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(b.String()), "</svg>"))
	assert.ErrorContains(t, Plot(&b, Config{Deployments: []string{"nowhere"}}), "no deployment")
}
