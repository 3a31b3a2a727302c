package jwboard

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrouter"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/core/jwworkspace"
)

// Reporter builds the news that this node sends to its partners from the board, and
// writes the news that it receives to the board.
type Reporter struct {
	Board   *Board
	Moves   HolderMoves // may be nil
	Now     func() time.Time
	Trigger func() // called when received news must be sent on at once; may be nil

	mu   sync.Mutex
	sent map[string]*sent // by name of the partner
}

// HolderMoves knows which process took over the tickets of a stopped process.
type HolderMoves interface {
	Moves() []jwclaim.HolderMove
	AddMove(jwclaim.HolderMove)
}

// Report returns the news to send to a partner, without what it was sent before. A
// partner in the same region is sent everything that the nodes of a region need. A
// partner in another region is sent the load of this region and the suspects whose
// data is not bound to a region.
func (r *Reporter) Report(to jwpeer.Peer) jwpeer.News {
	now := r.Now()
	self := r.Board.Peers.Self()
	interval := loadInterval(r.Board.Peers.Len())
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.partner(to.Name, now)
	n := jwpeer.News{Suspects: r.suspects(to.Region, now, record)}
	due := record.loadsDue(now, interval)
	if to.Region != self.Region {
		if due {
			n.Loads = r.ownLoads(self.Region, now)
		}
		return n
	}
	for _, d := range r.Board.Targets.Leaving() {
		if record.markSent("leaving "+d.Address.String(), now) {
			n.Leaving = append(n.Leaving, jwpeer.LeavingTarget{Target: d.Address, Age: now.Sub(d.Since)})
		}
	}
	n.HolderMoves = r.moves(record, now)
	if due {
		n.Usages = r.usages(self.Name, now)
		n.Loads = r.otherRegionLoads(self.Region, now)
	}
	return n
}

// Forget makes the next Report to a partner complete, because it may not have
// received the last one.
func (r *Reporter) Forget(partner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sent, partner)
}

func (r *Reporter) usages(self string, now time.Time) []jwpeer.Usage {
	var out []jwpeer.Usage
	for _, u := range r.Board.Limiter.Usages(now) {
		out = append(out, jwpeer.Usage{Node: self, Name: u.Name, Rate: u.Rate, Running: u.Running})
	}
	return out
}

func (r *Reporter) suspects(region string, now time.Time, record *sent) []jwpeer.Suspect {
	var out []jwpeer.Suspect
	for _, s := range r.Board.Suspects.Notices(region, now) {
		key := "suspect " + string(s.Fingerprint[:]) + s.Target.String()
		if s.State != jwsuspect.Clear {
			key += now.Add(-s.Age).Format(time.RFC3339Nano) // the same target may crash again
		}
		if !record.markSent(key, now) {
			continue
		}
		out = append(out, jwpeer.Suspect{
			Fingerprint: s.Fingerprint[:], Target: s.Target, Age: s.Age, Region: regionOf(s.Homes),
			State: string(s.State),
		})
	}
	return out
}

// regionOf returns the only region that may hold the data of a request, "" if all may.
func regionOf(homes jwworkspace.Regions) string {
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

// ownLoads returns the loads of this region's services, as this node sees them.
func (r *Reporter) ownLoads(region string, now time.Time) []jwpeer.RegionLoad {
	var out []jwpeer.RegionLoad
	for _, service := range r.services() {
		capacity := r.Board.Targets.Capacity(service, now)
		out = append(out, jwpeer.RegionLoad{
			Region: region, Service: service, Wait: capacity.Wait, CallTime: capacity.CallTime,
			Free: capacity.Free(), Slots: capacity.Slots, Targets: capacity.Targets,
		})
	}
	return out
}

// maxReportedRegions is the max number of other regions whose load a node reports for
// each service. A request goes to only one region, so the loads of all regions would
// mostly be useless to the nodes that don't exchange with those regions.
const maxReportedRegions = 5

// otherRegionLoads returns the loads of the other regions that could start a request
// soonest, for the nodes of this region that don't exchange with those regions.
func (r *Reporter) otherRegionLoads(region string, now time.Time) []jwpeer.RegionLoad {
	var out []jwpeer.RegionLoad
	for _, service := range r.services() {
		loads := slices.DeleteFunc(r.Board.Regions.Loads(service, now), func(l jwrouter.Load) bool { return l.Region == region })
		slices.SortStableFunc(loads, func(a, b jwrouter.Load) int {
			return cmp.Or(cmp.Compare(r.earliestStart(a), r.earliestStart(b)), cmp.Compare(b.Free*float64(b.Slots), a.Free*float64(a.Slots)))
		})
		for _, l := range loads[:min(len(loads), maxReportedRegions)] {
			out = append(out, jwpeer.RegionLoad{
				Region: l.Region, Service: l.Service, Wait: l.Wait, CallTime: l.CallTime,
				Free: l.Free, Slots: l.Slots, Targets: l.Targets, Age: now.Sub(l.Taken),
			})
		}
	}
	return out
}

// earliestStart returns the shortest time after which a region could start a request:
// its wait and one round trip.
func (r *Reporter) earliestStart(l jwrouter.Load) time.Duration {
	return l.Wait + 2*r.Board.Regions.Links[l.Region].Delay
}

// services returns the services that the entries of the catalogue name.
func (r *Reporter) services() []string {
	seen := make(map[string]bool)
	var out []string
	for _, e := range r.Board.Catalogue.Current().Entries {
		if !seen[e.Service] {
			seen[e.Service] = true
			out = append(out, e.Service)
		}
	}
	return out
}

// moves returns the moves that a partner has not been sent. They are reported only
// within the region, where the tickets run.
func (r *Reporter) moves(record *sent, now time.Time) []jwpeer.HolderMove {
	if r.Moves == nil {
		return nil
	}
	var out []jwpeer.HolderMove
	for _, m := range r.Moves.Moves() {
		if !record.markSent("move "+m.Incarnation+m.To.Incarnation, now) {
			continue
		}
		out = append(out, jwpeer.HolderMove{
			Incarnation: m.Incarnation, ToNode: m.To.Node, ToRegion: m.To.Region, ToIncarnation: m.To.Incarnation,
		})
	}
	return out
}

func (r *Reporter) mergeMoves(moves []jwpeer.HolderMove) {
	if r.Moves == nil {
		return
	}
	for _, m := range moves {
		to := jwclaim.Holder{Node: m.ToNode, Region: m.ToRegion, Incarnation: m.ToIncarnation}
		r.Moves.AddMove(jwclaim.HolderMove{Incarnation: m.Incarnation, To: to})
	}
}

// Merge writes the news that a partner sent to the board.
func (r *Reporter) Merge(from jwpeer.Peer, n jwpeer.News) {
	now := r.Now()
	self := r.Board.Peers.Self()
	if from.Region == self.Region {
		r.mergeLeaving(n.Leaving, now)
		r.mergeUsages(n.Usages, now)
		r.mergeMoves(n.HolderMoves)
	}
	for _, l := range n.Loads {
		if l.Region == self.Region {
			continue
		}
		r.Board.Regions.Merge(jwrouter.Load{
			Region: l.Region, Service: l.Service, Wait: l.Wait, CallTime: l.CallTime,
			Free: l.Free, Slots: l.Slots, Targets: l.Targets, Taken: now.Add(-l.Age),
		})
	}
	r.mergeSuspects(self.Region, n.Suspects, now)
}

// mergeLeaving records the leaving targets and sends new ones on at once, because no
// node may give a leaving target new work after a few seconds.
func (r *Reporter) mergeLeaving(leaving []jwpeer.LeavingTarget, now time.Time) {
	before := len(r.Board.Targets.Leaving())
	for _, l := range leaving {
		r.Board.Targets.MarkLeaving(l.Target, now.Add(-l.Age), now)
	}
	if len(r.Board.Targets.Leaving()) > before && r.Trigger != nil {
		r.Trigger()
	}
}

func (r *Reporter) mergeUsages(usages []jwpeer.Usage, now time.Time) {
	byNode := make(map[string][]jwlimit.Usage)
	for _, u := range usages {
		byNode[u.Node] = append(byNode[u.Node], jwlimit.Usage{Name: u.Name, Rate: u.Rate, Running: u.Running})
	}
	for node, list := range byNode {
		r.Board.Limiter.Merge(node, list, now)
	}
}

func (r *Reporter) mergeSuspects(region string, suspects []jwpeer.Suspect, now time.Time) {
	var notices []jwsuspect.Notice
	for _, s := range suspects {
		if s.Region != "" && s.Region != region {
			continue
		}
		n := jwsuspect.Notice{Target: s.Target, Age: s.Age, State: jwsuspect.State(s.State)}
		if s.Region != "" {
			n.Homes = jwworkspace.Regions{s.Region}
		}
		if copy(n.Fingerprint[:], s.Fingerprint) != len(n.Fingerprint) {
			continue
		}
		notices = append(notices, n)
	}
	if len(r.Board.Suspects.Merge(notices, now)) > 0 && r.Trigger != nil {
		r.Trigger()
	}
}
