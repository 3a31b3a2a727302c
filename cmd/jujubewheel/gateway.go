package main

import (
	"context"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"jujubewheel/io/jwcommand"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwrest"
	"jujubewheel/io/jwsettings"
	"jujubewheel/platform"
)

// memoryDivisor divides the memory that the process may use to get the memory
// limit of the Go runtime. The limit is half of it, as bytes waiting in the
// kernel's buffers count too.
const memoryDivisor = 2

// gcPercent makes the runtime collect garbage more often than by default, as
// peak memory is scarce on a host while its processor is mostly idle.
const gcPercent = 15

// targetDialTimeout is how long a target of the same region may take to accept a
// connection: about twenty round trips.
const targetDialTimeout = 300 * time.Millisecond

// nodeIdleTimeout is how long an idle connection to another node is kept: half
// of the time after which that node closes it. Connections are kept because
// opening one across regions takes a round trip.
const nodeIdleTimeout = jwrest.DefaultIdleTimeout / 2

// settingsPollInterval is the time between checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// gateway runs a node that takes its configuration from the platform's store.
type gateway struct {
	hup <-chan os.Signal // receives SIGHUP: the settings are to be reloaded
}

// Run implements jwcommand.Runner.
func (g gateway) Run(ctx context.Context, n jwcommand.RunParams) error {
	options := n.Settings.Gateway
	debug.SetGCPercent(gcPercent)
	if options.MemoryBytes > 0 {
		debug.SetMemoryLimit(options.MemoryBytes / memoryDivisor)
	}
	queue := &jwlog.Queue{W: os.Stdout}
	stopQueue, queueDone := make(chan struct{}), make(chan struct{})
	go func() {
		queue.Run(stopQueue)
		close(queueDone)
	}()
	defer func() {
		close(stopQueue)
		<-queueDone
	}()
	log := jwlog.New(queue, n.Verbose).WithValues("node", n.Settings.Node)
	meter := &jwmeter.Meter{Log: log}
	defer meter.Close()
	gw := &jwgateway.Gateway{
		Settings:        n.Settings,
		ControlOverload: platform.AsksForOverloadControl(options.Contracts),
		Feed:            &platform.Store{Address: options.Store.Address, Pool: &jwconn.Pool{}, Called: countCalls(meter)},
		Records:         platform.Records{Regions: options.DataCentres},
		Dialect:         platform.Headers{},
		Targets:         &jwconn.Pool{DialTimeout: targetDialTimeout},
		Nodes:           &jwconn.Pool{IdleTimeout: nodeIdleTimeout},
		Log:             log,
		Meter:           meter,
		DroppedLogLines: queue.Lost,
		Decisions:       jwlog.NewDecisions(queue, queue.DropFirst(), n.Settings.Node),
		Reload:          watchSettings(ctx, g.hup, n.File, log),
	}
	return gw.Run(ctx)
}

// watchSettings reloads the settings file at each signal on reload and when the
// file has changed, and sends the new settings on the returned channel. A file
// with faults is rejected and the previous settings stay in force.
func watchSettings(ctx context.Context, reload <-chan os.Signal, file string, log logr.Logger) <-chan *jwsettings.Settings {
	out := make(chan *jwsettings.Settings)
	go func() {
		last := modTime(file)
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-reload:
			case <-tick.C:
				if modifiedAt := modTime(file); modifiedAt.Equal(last) {
					continue
				}
			}
			last = modTime(file)
			s, err := jwsettings.Load(file)
			if err != nil || s.Gateway == nil {
				log.Info("settings refused, the previous ones stay in force", "file", file, "error", errorText(err))
				continue
			}
			select {
			case out <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// errorText returns the reason why settings were rejected; without an error,
// they have no gateway section.
func errorText(err error) string {
	if err == nil {
		return "no gateway section"
	}
	return err.Error()
}

// modTime returns the modification time of a file, zero if it can't be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// countCalls returns a function that counts calls to the store by kind and
// status; status 0 means that there was no answer.
func countCalls(m *jwmeter.Meter) func(call string, status int) {
	return func(call string, status int) {
		m.Counter("store_calls_total", jwmeter.Tags{"call": call, "status": strconv.Itoa(status)}).Inc(1)
	}
}
