package jwforward

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"jujubewheel/io/jwcert"
)

// checkIdentity compares the name and region that a node claims with its
// certificate; an empty region is not compared. Without this check, one
// compromised node could confirm a catalogue change in the name of others, or
// present a request as one from another region. A connection without TLS has no
// certificate, so every claim passes.
func checkIdentity(ctx context.Context, node, region string) error {
	p, known := peer.FromContext(ctx)
	if !known {
		return nil
	}
	info, secure := p.AuthInfo.(credentials.TLSInfo)
	if !secure {
		return nil
	}
	id, err := jwcert.IdentityOf(info.State)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if id.Node != node || region != "" && id.Region != region {
		return status.Errorf(codes.PermissionDenied, "certificate belongs to node %s in region %s, not to node %s in region %s", id.Node, id.Region, node, region)
	}
	return nil
}
