package jwconsul_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"gotest.tools/v3/assert"

	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwstand"
)

// The benchmarks run with as many hosts, workspaces and regions as the system is designed for.
const (
	benchNodes      = 970
	benchTargets    = 3200
	benchWorkspaces = 38_000
	benchRegions    = 13
)

// serve runs a stand-in for a platform service until the benchmark ends.
func serve(b *testing.B, program jwstand.Program) *jwstand.StandIn {
	b.Helper()
	logx.Disable()
	stand := &jwstand.StandIn{Program: program}
	stop, err := stand.Start()
	assert.NilError(b, err)
	b.Cleanup(func() { assert.Check(b, stop()) })
	return stand
}

// allHosts returns the nodes and targets of a system of the design size. The state of
// the host at index i is states[i], or live if there is none.
func allHosts(states ...string) []jwstand.HostGroup {
	var groups []jwstand.HostGroup
	for i := range benchNodes + benchTargets {
		address := fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)
		region := fmt.Sprintf("region-%d", i%benchRegions)
		labels := map[string]string{
			"role": "target", "region": region, "dataCentre": region + "-a", "service": "sheetwriter", "state": "live",
		}
		if i < benchNodes {
			labels["role"], labels["name"], labels["nodes"] = "entry", fmt.Sprintf("node-%d", i), address
			delete(labels, "service")
		}
		if i < len(states) {
			labels["state"] = states[i]
		}
		groups = append(groups, jwstand.HostGroup{Targets: []string{address}, Labels: labels})
	}
	return groups
}

func reportTraffic(b *testing.B, before, after jwconsul.Traffic) {
	b.ReportMetric(float64(after.Sent-before.Sent)/float64(b.N), "sentB/op")
	b.ReportMetric(float64(after.Received-before.Received)/float64(b.N), "recvB/op")
}

func BenchmarkHostList(b *testing.B) {
	ctx := context.Background()
	for name, changes := range map[string]bool{"unchanged": false, "changed": true} {
		b.Run(name, func(b *testing.B) {
			hosts := &jwstand.Hosts{}
			hosts.Set(allHosts())
			list := &jwconsul.HostList{Address: serve(b, hosts).Address}
			_, err := list.Hosts(ctx)
			assert.NilError(b, err)
			versions := [][]jwstand.HostGroup{allHosts("leaving"), allHosts()}
			before := list.Traffic()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if changes {
					hosts.Set(versions[i%2])
				}
				if _, err := list.Hosts(ctx); err != nil {
					b.Fatal(err)
				}
			}
			reportTraffic(b, before, list.Traffic())
		})
	}
}

func BenchmarkDirectory(b *testing.B) {
	ctx := context.Background()
	clients := &jwstand.Clients{}
	var all []jwstand.Client
	for i := range benchWorkspaces {
		region := fmt.Sprintf("region-%d", i%benchRegions)
		all = append(all, jwstand.Client{Name: fmt.Sprintf("workspace-%05d", i), Region: region, Bound: i%8 == 0, Owner: "owner-17"})
	}
	clients.Set(all)
	directory := &jwconsul.Directory{Address: serve(b, clients).Address}
	full, err := directory.Fetch(ctx, "")
	assert.NilError(b, err)
	for name, version := range map[string]string{"unchanged": full.Version, "whole": ""} {
		b.Run(name, func(b *testing.B) {
			before := directory.Traffic()
			b.ReportAllocs()
			for range b.N {
				if _, err := directory.Fetch(ctx, version); err != nil {
					b.Fatal(err)
				}
			}
			reportTraffic(b, before, directory.Traffic())
		})
	}
}

func BenchmarkKeyValue(b *testing.B) {
	ctx := context.Background()
	kv := &jwconsul.KeyValue{Address: serve(b, &jwstand.KeyValue{}).Address}
	version, _, err := kv.CompareAndSwap(ctx, "k", make([]byte, 2048), 0)
	assert.NilError(b, err)
	calls := map[string]func() error{
		"get":  func() error { _, _, err := kv.Get(ctx, "k"); return err },
		"wait": func() error { _, _, err := kv.Wait(ctx, "none", 0, time.Millisecond); return err },
		"swap": func() (err error) {
			version, _, err = kv.CompareAndSwap(ctx, "k", make([]byte, 2048), version)
			return err
		},
	}
	for name, call := range calls {
		b.Run(name, func(b *testing.B) {
			before := kv.Traffic()
			b.ReportAllocs()
			for range b.N {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			reportTraffic(b, before, kv.Traffic())
		})
	}
}
