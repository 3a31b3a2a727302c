package main

import (
	"context"
	"net/netip"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"jujubebench": main})
}

func TestScripts(t *testing.T) {
	runner := startStand(t, &jwstand.Runner{})
	service := startStand(t, &jwstand.Service{})
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

// startStand serves a program until the test ends.
func startStand(t *testing.T, program jwstand.Program) *jwstand.Stand {
	t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	stand := &jwstand.Stand{Address: anyPort, Control: anyPort, Program: program}
	assert.NilError(t, stand.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- stand.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return stand
}
