package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"jujubebench": main})
}

func TestScripts(t *testing.T) {
	runner := startStandIn(t, &jwstand.Runner{})
	service := startStandIn(t, &jwstand.Service{})
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("RUNNER", runner.Address.String())
			env.Setenv("RUNNER_CONTROL", runner.Control.String())
			env.Setenv("SERVICE", service.Address.String())
			env.Setenv("SERVICE_CONTROL", service.Control.String())
			return nil
		},
	})
}

// startStandIn runs a stand-in until the test ends.
func startStandIn(t *testing.T, program jwstand.Program) *jwstand.StandIn {
	t.Helper()
	standIn := &jwstand.StandIn{Program: program}
	stop, err := standIn.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, stop()) })
	return standIn
}
