package jwforward

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwwire"
)

// directoryPageSize is the maximum number of workspaces in one page of the
// directory.
const directoryPageSize = 1000

// ChangeSource provides catalogue changes, which are sent to other nodes.
type ChangeSource interface {
	// ChangeRecords returns at most limit changes after a revision as JSON
	// records, a checkpoint instead if it no longer has the changes, and the
	// newest revision.
	ChangeRecords(after uint64, limit int) (changes [][]byte, checkpoint []byte, revision uint64)
}

// DirectorySource provides the newest known directory, which is sent to other
// nodes.
type DirectorySource interface {
	// Current returns the directory, nil if none is known yet.
	Current() *jwdirectory.Snapshot
}

// ChangeRecords asks a node for at most limit catalogue changes after a
// revision, as JSON records. It returns a checkpoint if the node no longer has
// the changes themselves.
func (p *Pool) ChangeRecords(ctx context.Context, from jwpeer.Peer, after uint64, limit int) (changes [][]byte, checkpoint []byte, err error) {
	client, _, err := p.client(from.NodeAddress)
	if err != nil {
		return nil, nil, err
	}
	out, err := client.Changes(ctx, &jwwire.ChangesRequest{After: after, Most: uint32(limit)})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "get changes from %s", from.Name)
	}
	return out.GetChanges(), out.GetCheckpoint(), nil
}

// Changes sends catalogue changes to another node.
func (s *Server) Changes(_ context.Context, in *jwwire.ChangesRequest) (*jwwire.ChangesResponse, error) {
	changes, checkpoint, revision := s.Catalogue.ChangeRecords(in.GetAfter(), int(in.GetMost()))
	return &jwwire.ChangesResponse{Changes: changes, Checkpoint: checkpoint, Revision: revision}, nil
}

// FetchDirectory asks a node for its directory. It returns nil if the node has
// the given version, or no directory.
func (p *Pool) FetchDirectory(ctx context.Context, from jwpeer.Peer, version string) (*jwdirectory.Snapshot, error) {
	client, _, err := p.client(from.NodeAddress)
	if err != nil {
		return nil, err
	}
	stream, err := client.Directory(ctx, &jwwire.DirectoryRequest{Version: version})
	if err != nil {
		return nil, errors.Wrapf(err, "get directory from %s", from.Name)
	}
	var out *jwdirectory.Snapshot
	for {
		page, err := stream.Recv()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "get directory from %s", from.Name)
		}
		if out == nil {
			out = &jwdirectory.Snapshot{Version: page.GetVersion(), Workspaces: make(map[string]jwdirectory.Workspace)}
		}
		for _, w := range page.GetWorkspaces() {
			out.Workspaces[w.GetName()] = jwdirectory.Workspace{
				Name: w.GetName(), Region: w.GetRegion(), Bound: w.GetBound(), Owner: w.GetOwner(),
			}
		}
	}
}

// Directory sends the directory in pages to another node, unless that node has
// the same version.
func (s *Server) Directory(in *jwwire.DirectoryRequest, stream grpc.ServerStreamingServer[jwwire.DirectoryPage]) error {
	snapshot := s.Workspaces.Current()
	if snapshot == nil || snapshot.Version == in.GetVersion() {
		return nil
	}
	page := &jwwire.DirectoryPage{Version: snapshot.Version}
	for _, w := range snapshot.Workspaces {
		page.Workspaces = append(page.Workspaces, &jwwire.Workspace{
			Name: w.Name, Region: w.Region, Bound: w.Bound, Owner: w.Owner,
		})
		if len(page.Workspaces) < directoryPageSize {
			continue
		}
		if err := stream.Send(page); err != nil {
			return err
		}
		page = &jwwire.DirectoryPage{Version: snapshot.Version}
	}
	return stream.Send(page)
}
