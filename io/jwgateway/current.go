package jwgateway

import "time"

// configIsCurrent reports whether the configuration in force has each change that must be in force by now.
// A node whose configuration may be outdated can't tell what the configuration doesn't have.
func (g *Gateway) configIsCurrent(now time.Time) bool {
	return g.entries.IsCurrent(now, g.bounds.Load().ConfigInForce)
}

// configAge returns how long ago the configuration in force was known to be the newest, in milliseconds;
// nil if that is unknown.
func (g *Gateway) configAge(now time.Time) *int64 {
	at := g.entries.KnownAt()
	if at.IsZero() {
		return nil
	}
	age := max(now.Sub(at), 0).Milliseconds() + 1
	return &age
}

// configKnownAt returns as of when the version of a state was known to be the newest, zero if the sender
// doesn't say. The state is not from before notBefore.
func (s *state) configKnownAt(notBefore time.Time) time.Time {
	if s.ConfigAge == nil {
		return time.Time{}
	}
	return notBefore.Add(-time.Duration(*s.ConfigAge) * time.Millisecond)
}
