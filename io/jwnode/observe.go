package jwnode

import "jujubewheel/io/jwobserver"

// maxListAgePeriods is the age of the host list, in poll periods, above which the
// observer reports that the list can't be read.
const maxListAgePeriods = 10

// observer returns the part that exports the state of the board as gauges and
// records its changes in the audit trail.
func (n *Node) observer() *jwobserver.Observer {
	s := n.Settings
	o := &jwobserver.Observer{
		Node: s.Node, Region: s.Region, Board: &n.board, Meter: n.Meter, Audit: n.Audit,
		RegionTimeout: peerTimeout, MaxListAge: maxListAgePeriods * s.Periods.HostsPoll,
		Store: n.store, Follower: n.follower, Claims: n.keeper, Drain: &n.drain,
	}
	for _, r := range s.Regions {
		o.Regions = append(o.Regions, r.Name)
	}
	return o
}
