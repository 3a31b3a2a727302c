package jwforward

import (
	"math"
	"net/netip"
	"time"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

func newsToWire(n jwpeer.News, out *jwwire.Digest) {
	for _, l := range n.Leaving {
		out.Leaving = append(out.Leaving, &jwwire.LeavingTarget{
			Address: l.Target.String(), AgeMicros: l.Age.Microseconds(),
		})
	}
	for _, s := range n.Suspects {
		out.Suspects = append(out.Suspects, suspectToWire(s))
	}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, &jwwire.RegionLoad{
			Region: l.Region, Service: l.Service,
			WaitMicros: l.Wait.Microseconds(), WorkMicros: l.CallTime.Microseconds(),
			FreeShare: l.Free, Slots: uint64(l.Slots), Targets: uint64(l.Targets), AgeMicros: l.Age.Microseconds(),
		})
	}
	for _, u := range n.Usages {
		out.Usages = append(out.Usages, &jwwire.Usage{
			Node: u.Node, Name: u.Name, Rate: u.Rate, Running: uint32(u.Running),
		})
	}
	for _, m := range n.HolderMoves {
		out.Moves = append(out.Moves, &jwwire.Move{
			Incarnation: m.Incarnation, ToNode: m.ToNode, ToRegion: m.ToRegion, ToIncarnation: m.ToIncarnation,
		})
	}
}

// newsFromWire leaves out entries whose address can't be parsed.
func newsFromWire(d *jwwire.Digest) jwpeer.News {
	var n jwpeer.News
	for _, l := range d.GetLeaving() {
		if target, err := netip.ParseAddrPort(l.GetAddress()); err == nil {
			n.Leaving = append(n.Leaving, jwpeer.LeavingTarget{Target: target, Age: micros(l.GetAgeMicros())})
		}
	}
	for _, s := range d.GetSuspects() {
		if suspect, ok := suspectFromWire(s); ok {
			n.Suspects = append(n.Suspects, suspect)
		}
	}
	for _, l := range d.GetLoads() {
		n.Loads = append(n.Loads, jwpeer.RegionLoad{
			Region: l.GetRegion(), Service: l.GetService(),
			Wait: micros(l.GetWaitMicros()), CallTime: micros(l.GetWorkMicros()), Free: l.GetFreeShare(),
			Slots: int(l.GetSlots()), Targets: int(l.GetTargets()), Age: micros(l.GetAgeMicros()),
		})
	}
	for _, u := range d.GetUsages() {
		n.Usages = append(n.Usages, jwpeer.Usage{
			Node: u.GetNode(), Name: u.GetName(), Rate: u.GetRate(), Running: int(u.GetRunning()),
		})
	}
	for _, m := range d.GetMoves() {
		n.HolderMoves = append(n.HolderMoves, jwpeer.HolderMove{
			Incarnation: m.GetIncarnation(), ToNode: m.GetToNode(), ToRegion: m.GetToRegion(), ToIncarnation: m.GetToIncarnation(),
		})
	}
	return n
}

func suspectToWire(s jwpeer.Suspect) *jwwire.Suspect {
	out := &jwwire.Suspect{
		Fingerprint: s.Fingerprint, Region: s.Region, AgeMicros: s.Age.Microseconds(), State: s.State,
	}
	if s.Target.IsValid() {
		out.Target = s.Target.String()
	}
	return out
}

// suspectFromWire accepts a notice without a target too: the notice that a
// request was served has none, and without it the other nodes would continue
// to suspect a harmless request.
func suspectFromWire(s *jwwire.Suspect) (jwpeer.Suspect, bool) {
	out := jwpeer.Suspect{
		Fingerprint: s.GetFingerprint(), Age: micros(s.GetAgeMicros()), Region: s.GetRegion(), State: s.GetState(),
	}
	if s.GetTarget() == "" {
		return out, true
	}
	target, err := netip.ParseAddrPort(s.GetTarget())
	out.Target = target
	return out, err == nil
}

// maxMicros is the longest duration accepted from another node, in
// microseconds. A longer one would overflow time.Duration and become negative.
const maxMicros = int64(math.MaxInt64 / time.Microsecond)

// micros converts an age or a wait in microseconds and limits it to the range
// from 0 to maxMicros.
func micros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMicros)) * time.Microsecond
}
