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

// directoryPage is how many workspaces one page of the directory holds.
const directoryPageSize = 1000

// ChangeSource gives catalogue changes, as JSON records, to other nodes.
type ChangeSource interface {
	ChangeRecords(after uint64, limit int) (changes [][]byte, checkpoint []byte, revision uint64)
}

// DirectorySource gives the newest known directory to other nodes.
type DirectorySource interface {
	Current() *jwdirectory.Snapshot
}

// ChangeRecords asks a node for catalogue changes after a revision; a
// checkpoint comes when the node no longer has the changes themselves.
func (p *Pool) ChangeRecords(ctx context.Context, from jwpeer.Peer, after uint64, limit int) (changes [][]byte, checkpoint []byte, err error) {
	client, _, err := p.client(from.Nodes)
	if err != nil {
		return nil, nil, err
	}
	out, err := client.Changes(ctx, &jwwire.ChangesRequest{After: after, Most: uint32(limit)})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "get changes from %s", from.Name)
	}
	return out.GetChanges(), out.GetCheckpoint(), nil
}

// Changes answers another node that lacks catalogue changes.
func (s *Server) Changes(_ context.Context, in *jwwire.ChangesRequest) (*jwwire.ChangesResponse, error) {
	changes, checkpoint, revision := s.Catalogue.ChangeRecords(in.GetAfter(), int(in.GetMost()))
	return &jwwire.ChangesResponse{Changes: changes, Checkpoint: checkpoint, Revision: revision}, nil
}

// FetchDirectory asks a node for its directory; it is nil when the node has the
// same version, or none.
func (p *Pool) FetchDirectory(ctx context.Context, from jwpeer.Peer, version string) (*jwdirectory.Snapshot, error) {
	client, _, err := p.client(from.Nodes)
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

// Directory answers another node that lacks the directory.
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
