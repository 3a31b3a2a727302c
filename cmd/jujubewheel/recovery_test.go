package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// The benchmarks of this file measure how long the system takes to recover from
// a failure or to apply a change, with each part as a process. They run with
//
//	go test -run - -bench Recovery -benchtime 3x ./cmd/jujubewheel
//
// and are not part of CI, which makes no assertions about times.

// served sends a draft of one token and reports whether a complete answer came.
func served(at netip.AddrPort) bool {
	return send(at, "draft", "free-east", prompt("menu", 1, false)).complete()
}

// waitUntil polls every 2 ms until a condition holds and returns how long it
// took.
func waitUntil(b *testing.B, condition func() bool) time.Duration {
	b.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > waitTimeout {
			b.Fatal("condition not met within the timeout")
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// reportMedian reports the median of times as a metric in milliseconds.
func reportMedian(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), name+"-ms")
}

// BenchmarkRecoveryNodeKill measures the time from the kill of a node until its
// caller is served by another node, and until no node returns the killed one to
// callers.
func BenchmarkRecoveryNodeKill(b *testing.B) {
	var servedElsewhere, noLongerListed []time.Duration
	for range b.N {
		f := newFleet(b, "east")
		f.startTarget("runner", "writer", "east", "--token", "1ms")
		for i := range 3 {
			f.startNode(fmt.Sprintf("e%d", i+1), "east")
		}
		f.loadCatalogue()
		killed, other := f.nodes[0], f.nodes[1]
		waitUntil(b, func() bool { return served(killed.Callers) && served(other.Callers) })
		known, err := listHosts(killed.Callers, "free-east")
		assert.NilError(b, err)
		killed.signal(syscall.SIGKILL)
		<-killed.ended
		groups := f.hostGroups
		f.hostGroups = slices.DeleteFunc(slices.Clone(groups), func(g jwstand.HostGroup) bool { return g.Labels["name"] == killed.name })
		f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
		servedElsewhere = append(servedElsewhere, waitUntil(b, func() bool {
			return slices.ContainsFunc(known, func(h netip.AddrPort) bool { return served(h) })
		}))
		noLongerListed = append(noLongerListed, waitUntil(b, func() bool {
			for _, n := range f.nodes[1:] {
				list, err := listHosts(n.Callers, "free-east")
				if err != nil || slices.Contains(list, killed.Callers) {
					return false
				}
			}
			return true
		}))
		f.killNodes()
	}
	reportMedian(b, "servedElsewhere", servedElsewhere)
	reportMedian(b, "noLongerNamed", noLongerListed)
}

// BenchmarkRecoveryTargetLeaving measures the time from when the platform's host
// list shows a target as leaving until the last new call that the target gets
// from any of three nodes. The target itself continues to accept calls.
func BenchmarkRecoveryTargetLeaving(b *testing.B) {
	var last []time.Duration
	for range b.N {
		f := newFleet(b, "east")
		leaving := f.startTarget("runner", "writer", "east", "--token", "1ms")
		f.startTarget("runner", "writer", "east", "--token", "1ms")
		for i := range 3 {
			f.startNode(fmt.Sprintf("e%d", i+1), "east")
		}
		f.loadCatalogue()
		for _, n := range f.nodes {
			waitUntil(b, func() bool { return served(n.Callers) })
		}
		start := time.Now()
		f.hostGroups[0].Labels["state"] = "leaving"
		f.putControl(f.hosts.Control, "/hosts", f.hostGroups)
		for i := 0; time.Since(start) < 4*time.Second; i++ {
			served(f.nodes[i%3].Callers)
		}
		var latest time.Duration
		for _, r := range f.readJournal(leaving) {
			latest = max(latest, r.Began.Sub(start))
		}
		last = append(last, latest)
		f.killNodes()
	}
	reportMedian(b, "lastNewCall", last)
}

// BenchmarkRecoveryEdit measures the time from an operator's command until the
// change is accepted, which means in force at every node of three regions.
func BenchmarkRecoveryEdit(b *testing.B) {
	for _, perRegion := range []int{1, 3} {
		b.Run(fmt.Sprintf("%dNodes", 3*perRegion), func(b *testing.B) {
			f := newFleet(b, "east", "north", "west")
			for _, r := range f.regions {
				for i := range perRegion {
					f.startNode(fmt.Sprintf("%s%d", r[:1], i+1), r)
				}
			}
			f.loadCatalogue()
			var accepted []time.Duration
			for i := range b.N {
				changed := strings.ReplaceAll(string(testCatalogue), `"deadline": "30s"`, fmt.Sprintf(`"deadline": "%ds"`, 31+i))
				path := f.write("again.json", json.RawMessage(changed))
				start := time.Now()
				out, err := f.runCommand(f.nodes[0], "catalogue", "put", "--overwrite", "--reason", "again", "--wait", "20s", path)
				assert.NilError(b, err, "%s", out)
				accepted = append(accepted, time.Since(start))
			}
			reportMedian(b, "accepted", accepted)
			f.killNodes()
		})
	}
}
