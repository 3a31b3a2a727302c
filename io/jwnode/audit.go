package jwnode

import (
	"context"
	"fmt"
	"iter"
	"net/netip"
	"sync/atomic"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwclaim"
	"jujubewheel/core/jwsuspect"
	"jujubewheel/io/jwaudit"
)

// auditedAcceptance adapts Acceptance to the operators' port and adds an audit
// record when a revision is first found to be accepted.
type auditedAcceptance struct {
	*jwcatalogue.Acceptance

	audit    *jwaudit.Trail
	recorded atomic.Uint64 // newest revision that was recorded
}

// Status reports whether a revision is in force at all nodes, and the names of
// those where it is not known to be.
func (a *auditedAcceptance) Status(ctx context.Context, revision uint64) (done bool, missing []string, err error) {
	s, err := a.Check(ctx, revision)
	for _, m := range s.Missing {
		missing = append(missing, m.Names...)
	}
	if newest := a.recorded.Load(); s.Accepted && revision > newest && a.recorded.CompareAndSwap(newest, revision) {
		a.audit.Add(jwaudit.Record{Kind: jwaudit.Accepted, Subject: "catalogue", Revision: revision})
	}
	return s.Accepted, missing, err
}

// reportCrash reports the crash of a target to the other nodes at once, since the
// next try of the same request may come to any of them. The audit record leaves
// out the fingerprints of the requests: logs may be collected outside the region,
// and a short body that is bound to the region could be guessed from its hash.
func (n *Node) reportCrash(target netip.AddrPort, quarantined []jwsuspect.Fingerprint) {
	n.exchange.Trigger()
	if len(quarantined) == 0 {
		return
	}
	n.Audit.Add(jwaudit.Record{
		Kind: jwaudit.Suspect, Subject: target.String(), To: string(jwsuspect.Quarantined),
		Detail: fmt.Sprintf("crashed; %d requests on it had crashed another target before", len(quarantined)),
	})
}

// auditedHandoverReceiver takes over the records of stopping nodes and adds an audit record.
type auditedHandoverReceiver struct {
	keeper *jwclaim.Keeper
	audit  *jwaudit.Trail
}

// Adopt takes over the tickets and answers of a stopping node: all records or,
// with an error, none.
func (a *auditedHandoverReceiver) Adopt(records iter.Seq2[jwclaim.Record, error]) (jwclaim.Receipt, error) {
	from := ""
	receipt, err := a.keeper.Adopt(func(yield func(jwclaim.Record, error) bool) {
		for r, err := range records {
			if from == "" {
				from = r.Holder.Node
			}
			if !yield(r, err) {
				return
			}
		}
	})
	if err == nil {
		a.audit.Add(jwaudit.Record{
			Kind: jwaudit.Handover, Subject: from, To: "takenOver", Detail: fmt.Sprintf("%d records", receipt.Records),
		})
	}
	return receipt, err
}
