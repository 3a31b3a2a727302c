package jwgateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"
)

const (
	// versionsKey is the key of the versions that may have begun the streams of each service. By it a
	// node knows them that has started after all nodes were lost.
	versionsKey = "jujubewheel/versions"
	// versionsWriteInterval is the time between two checks of whether that key must be written, unless a version
	// was registered that it lacks.
	versionsWriteInterval = 500 * time.Millisecond
	// versionsWriteTurn is how long each node of the fleet leaves the adding of a version to the one before it: the
	// store may turn that one away.
	versionsWriteTurn = 250 * time.Millisecond
)

// unstoredVersion is the reason for rejecting a stream that only targets of versions which aren't stored could begin.
const unstoredVersion = "the version of the targets is not stored yet"

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

// unstoredVersions returns the registered versions of a service that the stored list lacks. Their targets begin no
// stream that a caller may take up: after all nodes were lost, the list says which versions may have begun it.
// Without a list, no version counts as the only one.
func (g *Gateway) unstoredVersions(now time.Time, service string) []string {
	stored := g.storedVersions.of(service)
	if stored == nil {
		return nil
	}
	return slices.DeleteFunc(g.targets.Versions(now, service, 0), func(v string) bool { return slices.Contains(stored, v) })
}

// keepVersionsStored keeps versionsKey up to date until ctx ends. It is written only when a service gets or loses
// a version: by the first node of the fleet, and if a version must be added by the others in turn.
func (g *Gateway) keepVersionsStored(ctx context.Context) {
	var lackingSince time.Time
	for ctx.Err() == nil {
		g.awaitVersionsCheck(ctx)
		now := time.Now()
		writes := g.members.WritesFleetSize(now)
		switch {
		case !g.lacksVersions(now):
			lackingSince = time.Time{}
		case lackingSince.IsZero():
			lackingSince = now
		default:
			writes = now.Sub(lackingSince) >= time.Duration(g.members.Rank(now, versionsKey))*versionsWriteTurn
		}
		if writes {
			g.storeVersions(ctx, now)
		}
	}
}

// awaitVersionsCheck waits for versionsWriteInterval, less if the stored list lacks a version.
func (g *Gateway) awaitVersionsCheck(ctx context.Context) {
	t := time.NewTimer(versionsWriteInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.versionLacking:
	}
}

// lacksVersions reports whether a version of a service must be added to the stored list.
func (g *Gateway) lacksVersions(now time.Time) bool {
	c := g.entries.Current()
	if c == nil {
		return false
	}
	for service := range g.livesOf(c).byService {
		if len(g.unstoredVersions(now, service)) > 0 {
			return true
		}
	}
	return false
}

// storeVersions writes versionsKey if it must be changed.
func (g *Gateway) storeVersions(ctx context.Context, now time.Time) {
	if !g.fullReadDone.Load() || g.registrationsAge(now) > maxVersionViewAge {
		return
	}
	wanted, changed := g.versionsToStore(now)
	if !changed {
		return
	}
	value, err := json.Marshal(wanted)
	if err == nil {
		err = g.Feed.Set(ctx, versionsKey, value, 0)
	}
	if err != nil {
		g.Log.Info("failed to write the versions of services", "error", err.Error())
		return
	}
	g.storedVersions.set(wanted)
	g.Log.Info("versions of services stored", "versions", wanted)
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
