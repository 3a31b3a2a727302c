package jwnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwforward"
)

// maxChanges is the maximum number of catalogue changes in one answer of a peer.
const maxChanges = 256

// servingPeers provides the claim keeper with the nodes of a region that serve
// and were seen recently.
type servingPeers struct{ table *jwpeer.Table }

// Serving returns the names of the serving nodes of a region, this one included.
func (s servingPeers) Serving(region string) []string {
	var out []string
	for _, p := range s.table.Fresh(time.Now().Add(-peerTimeout)) {
		if p.Region == region && p.State == jwpeer.Serving {
			out = append(out, p.Name)
		}
	}
	return out
}

// changeSource fetches catalogue changes from a peer with a newer revision.
type changeSource struct {
	peers *jwpeer.Table
	pool  *jwforward.Pool
	self  string
}

// Changes returns a peer's changes after a revision, or its checkpoint if it no
// longer keeps them. It returns nothing when no peer is known to have a newer
// revision.
func (s *changeSource) Changes(ctx context.Context, after uint64) ([]jwcatalogue.Change, *jwcatalogue.Checkpoint, error) {
	ahead := s.peers.Select(func(p jwpeer.Peer) bool {
		return p.Name != s.self && p.Revision > after && p.State != jwpeer.Gone
	})
	if len(ahead) == 0 {
		return nil, nil, nil
	}
	peer := ahead[rand.IntN(len(ahead))]
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, checkpoint, err := s.pool.ChangeRecords(ctx, peer, after, maxChanges)
	if err != nil {
		return nil, nil, err
	}
	return decodeChanges(peer.Name, records, checkpoint)
}

func decodeChanges(from string, records [][]byte, checkpoint []byte) ([]jwcatalogue.Change, *jwcatalogue.Checkpoint, error) {
	var changes []jwcatalogue.Change
	for _, r := range records {
		c, err := jwcatalogue.ParseChange(r)
		if err != nil {
			return nil, nil, errors.Wrapf(err, "decode change from peer %q", from)
		}
		changes = append(changes, c)
	}
	if len(checkpoint) == 0 {
		return changes, nil, nil
	}
	cp, err := jwcatalogue.ParseCheckpoint(checkpoint)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "decode checkpoint from peer %q", from)
	}
	return changes, &cp, nil
}

// changeRecords serves encoded catalogue changes to other nodes.
type changeRecords struct{ table *jwcatalogue.Table }

// ChangeRecords returns at most limit changes after a revision as JSON records,
// or a checkpoint when they are no longer kept, and this node's revision. A limit
// of 0 or above maxChanges means maxChanges.
func (c *changeRecords) ChangeRecords(after uint64, limit int) (records [][]byte, checkpoint []byte, revision uint64) {
	if limit <= 0 || limit > maxChanges {
		limit = maxChanges
	}
	records, checkpoint, err := encodeChanges(c.table.Changes(after, limit))
	if err != nil {
		return nil, nil, c.table.Revision()
	}
	return records, checkpoint, c.table.Revision()
}

func encodeChanges(changes []jwcatalogue.Change, cp *jwcatalogue.Checkpoint) (records [][]byte, checkpoint []byte, err error) {
	for _, change := range changes {
		data, err := change.Encode()
		if err != nil {
			return nil, nil, err
		}
		records = append(records, data)
	}
	if cp != nil {
		checkpoint, err = cp.Encode()
	}
	return records, checkpoint, err
}

// hostSource fetches the hosts of the region from another node of the region.
type hostSource struct {
	peers *jwpeer.Table
	pool  *jwforward.Pool
	self  jwrequest.Hop
}

// Hosts returns the host list of a random peer of the region, limited to the
// hosts of that region.
func (s *hostSource) Hosts(ctx context.Context) ([]jwhost.Host, error) {
	peers := s.peers.Select(func(p jwpeer.Peer) bool {
		return p.Region == s.self.Region && p.Name != s.self.Node && p.State != jwpeer.Gone
	})
	if len(peers) == 0 {
		return nil, errors.New("get hosts: no other node of the region is known")
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return s.pool.FetchHosts(ctx, peers[rand.IntN(len(peers))], s.self.Region)
}

// directorySource fetches the client directory from another node of the region.
type directorySource struct {
	peers *jwpeer.Table
	pool  *jwforward.Pool
	self  jwrequest.Hop
}

// Fetch returns the directory of a random serving peer of the region, or nil if
// it still has the given version.
func (s *directorySource) Fetch(ctx context.Context, version string) (*jwdirectory.Snapshot, error) {
	peers := otherServingPeers(s.peers, s.self.Region, s.self.Node)
	if len(peers) == 0 {
		return nil, errors.New("get directory: no other node of the region serves")
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return s.pool.FetchDirectory(ctx, peers[rand.IntN(len(peers))], version)
}
