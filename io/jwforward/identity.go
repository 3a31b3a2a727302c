package jwforward

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"jujubewheel/io/jwkeys"
)

// checkIdentity compares what a node says it is with its certificate. One node
// that is taken over could otherwise confirm a catalogue change in the name of
// others, or pass off a request as one that came from another region. Over a
// connection without TLS there is nothing to compare.
func checkIdentity(ctx context.Context, node, region string) error {
	p, known := peer.FromContext(ctx)
	if !known {
		return nil
	}
	info, secure := p.AuthInfo.(credentials.TLSInfo)
	if !secure {
		return nil
	}
	id, err := jwkeys.IdentityOf(info.State)
	if err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if id.Node != node || region != "" && id.Region != region {
		return status.Errorf(codes.PermissionDenied, "the certificate is of node %s in region %s, not of %s in %s", id.Node, id.Region, node, region)
	}
	return nil
}
