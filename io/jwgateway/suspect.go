package jwgateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwsuspect"
)

// crashCheckTimeout limits the check whether a target whose call failed has crashed. A crashed
// target on a running host refuses connections at once.
const crashCheckTimeout = 50 * time.Millisecond

// quarantined is the reason for rejecting a request that has crashed targets.
const quarantined = "it was in flight on two targets as they crashed"

// contentFingerprint returns the fingerprint by which the request is recognized when it is sent
// again: a hash of its method, host, path and body. Of a long body only the buffered part and the
// length are known. The caller's address is not part of it, because it may change between two
// attempts.
func (q *request) contentFingerprint() jwsuspect.Fingerprint {
	entry := q.method + " " + q.host + " " + q.target
	if q.body.rest != nil {
		entry += " " + strconv.FormatInt(q.body.length, 10)
	}
	return jwsuspect.FingerprintOf(entry, q.body.buffered)
}

// callerOf returns the address of a caller without its port.
func callerOf(remote string) string {
	if a, err := netip.ParseAddrPort(remote); err == nil {
		return a.Addr().String()
	}
	return remote
}

// excludeSuspectTargets excludes from the choice the targets that a suspected request must not be
// sent to. If two suspects were in flight at one target when it crashes, the innocent one would be
// quarantined too.
func (g *Gateway) excludeSuspectTargets(now time.Time, q *request, n *jwinstance.Need) {
	if state, _ := g.suspects.Check(q.fingerprint, now); state != jwsuspect.Suspected {
		return
	}
	n.AvoidAddresses = g.suspects.ExcludedTargets(q.fingerprint, g.targets.Addresses(q.service), now)
}

// checkCrash checks whether a target whose call failed has crashed, and if so counts the crash
// against all requests in flight there. It must run before the request is sent again, because the
// next target might crash too.
func (g *Gateway) checkCrash(ctx context.Context, x *jwinstance.Target) {
	crashed, _, _ := g.crashChecks.Do(x.Address.String(), func() (any, error) {
		c, err := net.DialTimeout("tcp", x.Address.String(), crashCheckTimeout)
		if err == nil {
			c.Close()
		}
		refused := errors.Is(err, syscall.ECONNREFUSED)
		g.logCrashCheck(x, err, refused)
		return refused, nil
	})
	if ctx.Err() != nil {
		return
	}
	if crashed != true {
		g.confirmNow(x)
		return
	}
	now := time.Now()
	g.logBars(g.parts.Crashed(now, x.Address, incarnationOf(x)), nil, "")
	g.targets.Unreached(now, x)
	g.confirmLater(x, true)
	for _, f := range g.suspects.Crashed(x.Address, x.ID, now) {
		g.Log.Info("request barred", "fingerprint", f.String(), "target", x.ID)
	}
}

// incarnationOf identifies a process of a target, which may restart under its ID.
func incarnationOf(x *jwinstance.Target) string {
	return x.ID + "@" + strconv.FormatInt(x.StartedAt, 36)
}

// logCrashCheck logs and counts the result of a crash check, with what was in flight at the target.
func (g *Gateway) logCrashCheck(x *jwinstance.Target, err error, crashed bool) {
	g.metrics.countCrashCheck(crashed)
	fields := []any{"target", x.ID, "crashed", crashed, "inFlight", g.suspects.InFlight(x.Address)}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	g.Log.Info("crash check", fields...)
}

// mergeSuspects merges what a peer reported about suspects.
func (g *Gateway) mergeSuspects(now time.Time, u jwsuspect.Update, peer string) {
	for _, f := range g.suspects.MergeUpdate(peer, u, now) {
		g.Log.Info("request barred", "fingerprint", f.String(), "from", peer)
	}
}
