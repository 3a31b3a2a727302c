package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

const gatewaySettings = `{
  "node": "n1", "region": "north", "dataCentre": "north-a",
  "gateway": {
    "listen": {"callers": %q, "ready": %q, "directory": %q, "nodes": %q},
    "store": {"address": %q},
    "dataCentres": [{"name": "north-a", "region": "north"}],
    "bounds": {"grace": "1s", "retryRatio": %s},
  },
}`

// reportedBounds decodes the bounds that a node logs at its start and after a
// reload.
type reportedBounds struct {
	Bounds struct{ RetryRatio float64 }
}

// The settings file changes while a node runs, with a signal, without one, and
// once to a file with a fault. A node that ended at the signal would abort its
// requests; one that accepted the faulty file would run without bounds.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.jsonc")
	var addrs []any // the last one is the store's address, where nothing listens
	var open []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, l.Addr().String())
		open = append(open, l)
	}
	for _, l := range open {
		_ = l.Close()
	}
	write := func(ratio string) {
		assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, gatewaySettings, append(addrs[:5:5], ratio)...), 0o600))
	}
	write("0.1")
	p := startProgram(t, "jujubewheel", "serve", file)
	var got reportedBounds
	p.waitForLine(`"started"`, &got)
	assert.Equal(t, got.Bounds.RetryRatio, 0.1)

	write("0.2")
	p.signal(syscall.SIGHUP)
	p.waitForLine(`"RetryRatio":0.2`, &got)

	write("-1")
	p.signal(syscall.SIGHUP)
	var refused struct{ Error string }
	p.waitForLine("settings refused", &refused)
	assert.Assert(t, strings.Contains(refused.Error, "retryRatio"), refused.Error)

	write("0.3") // without a signal
	p.waitForLine(`"RetryRatio":0.3`, &got)
	assert.Equal(t, got.Bounds.RetryRatio, 0.3)

	p.signal(syscall.SIGTERM)
	p.waitForLine(`"stopped"`, &struct{}{})
}
