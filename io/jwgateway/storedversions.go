package jwgateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"jujubewheel/core/jwclock"
)

const (
	// versionsKey is the key of the versions that may have begun the streams of each service. By it a
	// node knows them that has started after all nodes were lost.
	versionsKey = "jujubewheel/versions"
	// versionsWriteInterval is the time between two checks of whether that key must be written.
	versionsWriteInterval = 500 * time.Millisecond
)

// storedVersions holds the value of versionsKey as last read or written. The zero value holds none.
type storedVersions struct {
	mu        sync.Mutex
	byService map[string][]string
}

// of returns the stored versions of a service, sorted; nil if none are stored.
func (s *storedVersions) of(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service]
}

func (s *storedVersions) set(byService map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byService = byService
}

// applyStoredVersions applies the value of versionsKey.
func (g *Gateway) applyStoredVersions(value []byte) {
	var byService map[string][]string
	if err := json.Unmarshal(value, &byService); err != nil {
		g.Log.Info("failed to decode the versions of services", "error", err.Error())
		return
	}
	g.storedVersions.set(byService)
}

// keepVersionsStored keeps versionsKey up to date while this node is the one that writes it, until ctx
// ends. It is written only when a service gets or loses a version.
func (g *Gateway) keepVersionsStored(ctx context.Context) {
	for ctx.Err() == nil {
		jwclock.Sleep(ctx, versionsWriteInterval)
		now := time.Now()
		if !g.fullReadDone.Load() || !g.members.WritesFleetSize(now) || g.registrationsAge(now) > maxVersionViewAge {
			continue
		}
		wanted, changed := g.versionsToStore(now)
		if !changed {
			continue
		}
		value, err := json.Marshal(wanted)
		if err == nil {
			err = g.Feed.Set(ctx, versionsKey, value, 0)
		}
		if err != nil {
			g.Log.Info("failed to write the versions of services", "error", err.Error())
			continue
		}
		g.storedVersions.set(wanted)
		g.Log.Info("versions of services stored", "versions", wanted)
	}
}

// versionsToStore returns the value that versionsKey should have, and whether it differs from the
// stored one.
func (g *Gateway) versionsToStore(now time.Time) (wanted map[string][]string, changed bool) {
	c := g.entries.Current()
	if c == nil {
		return nil, false
	}
	wanted = make(map[string][]string)
	for service := range g.livesOf(c).byService {
		stored := g.storedVersions.of(service)
		list := g.targets.Versions(now, service, g.streamLife(service))
		switch {
		case g.seenForLife(now, service):
		case stored == nil:
			continue // what was there before this node isn't known
		default:
			list = slices.Compact(slices.Sorted(slices.Values(slices.Concat(list, stored))))
		}
		if len(list) > 0 {
			wanted[service] = list
		}
		changed = changed || !slices.Equal(list, stored)
	}
	return wanted, changed
}
