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

// memoryDivisor is the part of the memory that the runtime keeps to: half, as
// bytes that wait in the kernel count too.
const memoryDivisor = 2

// gcPercent makes the runtime collect sooner than by default: the memory of a host at
// its peak is dear, and its processor is mostly idle.
const gcPercent = 15

// targetDialTimeout is how long a target of the own region may take to accept a
// connection: some twenty ways there and back.
const targetDialTimeout = 300 * time.Millisecond

// nodeIdleTimeout is how long an unused connection to another node is kept: half as
// long as that one does. To open one across regions takes a way there and back.
const nodeIdleTimeout = jwrest.DefaultIdleTimeout / 2

// settingsPollInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// gateway runs a node that serves by the feed of the platform's store.
type gateway struct {
	hup <-chan os.Signal // the settings are to be read anew
}

// Run implements jwcommand.Runner.
func (g gateway) Run(ctx context.Context, n jwcommand.Node) error {
	options := n.Settings.Gateway
	debug.SetGCPercent(gcPercent)
	if options.Memory > 0 {
		debug.SetMemoryLimit(options.Memory / memoryDivisor)
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
		Settings:  n.Settings,
		Feed:      &platform.Store{Address: options.Store.Address, Pool: &jwconn.Pool{}, Called: countCalls(meter)},
		Records:   platform.Records{Regions: options.DataCentres},
		Dialect:   platform.Headers{},
		Targets:   &jwconn.Pool{DialTimeout: targetDialTimeout},
		Nodes:     &jwconn.Pool{Idle: nodeIdleTimeout},
		Log:       log,
		Meter:     meter,
		LostLines: queue.Lost,
		Decisions: jwlog.NewDecisions(queue, queue.Minor(), n.Settings.Node),
		Reload:    watchSettings(ctx, g.hup, n.File, log),
	}
	return gw.Run(ctx)
}

// watchSettings reads the settings file anew at each SIGHUP and when it has changed.
// A file with faults is refused and the settings before it stay.
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
				log.Info("settings refused, the old ones stay", "file", file, "error", errorText(err))
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

func errorText(err error) string {
	if err == nil {
		return "no gateway in it"
	}
	return err.Error()
}

// modTime returns when a file changed last, zero if it can't be told.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// countCalls counts the calls of the store by kind and status; 0 is no answer.
func countCalls(m *jwmeter.Meter) func(call string, status int) {
	return func(call string, status int) {
		m.Counter("store_calls_total", jwmeter.Tags{"call": call, "status": strconv.Itoa(status)}).Inc(1)
	}
}
