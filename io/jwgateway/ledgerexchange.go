package jwgateway

import (
	"time"

	"jujubewheel/core/jwledger"
)

// calmLedgerInterval is the least time between two reports of the ledger to a relay while no request is
// limited; otherwise each exchange carries it.
const calmLedgerInterval = 900 * time.Millisecond

// ledgerFor returns the part of the ledger to be reported to a node of a region, nil if there is none.
func (g *Gateway) ledgerFor(now time.Time, region string) *jwledger.Report {
	if region != g.Settings.Region {
		return nil
	}
	return g.shares.ledger.Local(now)
}

// relayedLedger returns the part of the ledger that is exchanged through relays, nil if there is none or
// it is not due.
func (g *Gateway) relayedLedger(now time.Time, report relayReport) *jwledger.Report {
	switch {
	case report.Liveness != nil:
		return g.shares.ledger.ForNode(now)
	case report.FromRelay:
		return g.shares.ledger.ForRelay(now)
	}
	age := now.Sub(time.Unix(0, g.shares.reportedAt.Load()))
	if age >= 0 && age < calmLedgerInterval && !g.shares.limited() {
		return nil
	}
	g.shares.reportedAt.Store(now.UnixNano())
	return g.shares.ledger.Local(now)
}

// mergeLedger merges what a node of this region reported about the demand.
func (g *Gateway) mergeLedger(now time.Time, s state) {
	if s.Member.Region == g.Settings.Region {
		g.shares.ledger.Merge(now, s.Member.Name, s.Ledger)
	}
}

// limited reports whether the shares of any service limit requests now.
func (t *shareTable) limited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.Limited() {
			return true
		}
	}
	return false
}
