package jwgateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/io/jwconn"
)

// confirmLater makes the node ask a target that could not be reached whether it is cold, as soon as it
// can be reached again.
func (g *Gateway) confirmLater(x *jwinstance.Target, refused bool) {
	if g.targets.MayHaveRestarted(time.Now(), x, refused) {
		g.Log.Info("target may have restarted", "target", x.ID, "refused", refused)
		g.startConfirming()
	}
}

// confirmNow makes the node ask a target that broke off a call whether it is cold.
func (g *Gateway) confirmNow(x *jwinstance.Target) {
	if g.targets.Disconnected(time.Now(), x) {
		g.startConfirming()
	}
}

// confirmAt does the same for the target at an address, which closed an unused connection.
func (g *Gateway) confirmAt(a netip.AddrPort) {
	if g.targets.DisconnectedAt(time.Now(), a) {
		g.startConfirming()
	}
}

func (g *Gateway) startConfirming() {
	select {
	case g.confirmationsDue <- struct{}{}:
	default:
	}
}

// confirmTargets asks targets that could not be reached whether they are cold, until ctx ends.
func (g *Gateway) confirmTargets(ctx context.Context) {
	for ctx.Err() == nil {
		ask, more := g.targets.Unconfirmed(time.Now())
		for _, x := range ask {
			go g.askWhetherCold(ctx, x)
		}
		if more {
			awaitSignal(ctx, g.confirmationsDue, probeInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.confirmationsDue:
		}
	}
}

// awaitSignal waits for a signal, ctx to end, or d.
func awaitSignal(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-t.C:
	}
}

// askWhetherCold asks a target once whether it is cold, and records what its answer says.
func (g *Gateway) askWhetherCold(ctx context.Context, x *jwinstance.Target) {
	path := g.healthPath(x.Service)
	if path == "" {
		g.targets.Answers(time.Now(), x)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.metrics.probes.Inc(1)
	a, err := g.Targets.Do(ctx, &jwconn.Call{Peer: x.Address, Method: http.MethodGet, Target: path, Host: x.Address.String()})
	now := time.Now()
	if err != nil {
		var ce *jwconn.CallError
		if errors.As(err, &ce) && ce.Stage == jwconn.StageDial {
			g.targets.MayHaveRestarted(now, x, errors.Is(err, syscall.ECONNREFUSED))
			return
		}
		g.targets.Answers(now, x)
		return
	}
	defer a.Close()
	drain(a)
	reply := g.Dialect.ParseAnswerHeaders(a.Header)
	switch reply.Target {
	case x.ID:
		g.Log.Info("target confirmed", "target", x.ID, "coldMs", reply.ColdFor.Milliseconds())
		g.targets.Confirmed(now, x, reply.ColdFor)
		g.noteLeaving(x, reply)
		g.noteRetryAfter(x, a.Status, reply)
	case "":
		g.targets.Answers(now, x)
	default:
		g.targets.Replaced(now, x)
	}
}

// healthPath returns the path at which targets of a service report their health, "" if there is none.
func (g *Gateway) healthPath(service string) string {
	if c := g.entries.Current(); c != nil && c.Services[service] != nil {
		return c.Services[service].HealthPath
	}
	return ""
}
