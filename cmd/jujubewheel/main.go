package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"jujubewheel/io/jwcommand"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwdemo"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwnode"
	"jujubewheel/platform"
)

// memoryShare is the part of the memory that the runtime keeps to: half, as
// bytes that wait in the kernel count too.
const memoryShare = 2

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &jwcommand.Program{
		Args:    os.Args[1:],
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Node:    node{},
		Gateway: gateway{},
		Demo:    jwdemo.Demo{},
	}
	code := p.Run(ctx)
	stop()
	os.Exit(int(code))
}

// node runs a node with all its parts.
type node struct{}

// Run implements jwcommand.Runner.
func (node) Run(ctx context.Context, n jwcommand.Node) error {
	whole := &jwnode.Node{Settings: n.Settings, Log: n.Log, Meter: n.Meter, Audit: n.Audit}
	return whole.Run(ctx)
}

// gateway runs a node that serves by the feed of the platform's store.
type gateway struct{}

// Run implements jwcommand.Runner.
func (gateway) Run(ctx context.Context, n jwcommand.Node) error {
	o := n.Settings.Gateway
	if o.Memory > 0 {
		debug.SetMemoryLimit(o.Memory / memoryShare)
	}
	whole := &jwgateway.Gateway{
		Settings: n.Settings,
		Feed:     &platform.Store{Address: o.Store.Address, Pool: &jwconn.Pool{}},
		Records:  platform.Records{Regions: o.DataCentres},
		Dialect:  platform.Headers{},
		Pool:     &jwconn.Pool{},
		Log:      n.Log,
	}
	return whole.Run(ctx)
}
