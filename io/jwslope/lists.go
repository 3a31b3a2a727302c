package jwslope

import (
	"context"
	"fmt"
	"time"

	"jujubewheel/core/jwdirectory"
	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwconsul"
	"jujubewheel/io/jwstand"
)

// asked is what one question to a list costs a node.
type asked struct {
	bytes float64 // both ways, headers included
	cpu   time.Duration
	heap  float64 // bytes kept
}

// hostGroups lists runners and a matching number of nodes.
func hostGroups(runners int, state string) []jwstand.HostGroup {
	var groups []jwstand.HostGroup
	nodes := runners * Nodes / Runners
	for i := range nodes + runners {
		region := fmt.Sprintf("region-%02d", i%Regions)
		labels := map[string]string{
			"role": "target", "region": region, "dataCentre": region + "-a",
			"service": fmt.Sprintf("model-%d", i%3), "state": "live",
		}
		if i < nodes {
			labels["role"], labels["name"], labels["nodes"] = "entry", fmt.Sprintf("node-%04d", i), addr(i, 8081).String()
			delete(labels, "service")
		}
		if i == nodes {
			labels["state"] = state
		}
		groups = append(groups, jwstand.HostGroup{Targets: []string{addr(i, 8080).String()}, Labels: labels})
	}
	return groups
}

// askHosts measures reads of the host list that changes, or not, before each.
// The stand-in's time counts in full, so the processor time is an upper bound.
func askHosts(ctx context.Context, runners int, changes bool) (asked, error) {
	hosts := &jwstand.Hosts{}
	stand := &jwstand.Stand{Program: hosts}
	stop, err := stand.Start()
	if err != nil {
		return asked{}, err
	}
	defer func() { _ = stop() }()
	versions := [][]jwstand.HostGroup{hostGroups(runners, "live"), hostGroups(runners, "leaving")}
	hosts.Set(versions[0])
	before := heap()
	list := &jwconsul.HostList{Address: stand.Address}
	table := &jwtarget.Table{Node: "node-0000", Region: "region-00"}
	read := func() error {
		got, err := list.Hosts(ctx)
		if err != nil {
			return err
		}
		table.Set(targetsOf(got), time.Now())
		return nil
	}
	if err := read(); err != nil {
		return asked{}, err
	}
	out := asked{heap: max(heap()-before, 0)}
	const reads = 20
	moved, cpu := list.Traffic(), cpuTime()
	for i := range reads {
		if changes {
			hosts.Set(versions[(i+1)%2])
		}
		if err := read(); err != nil {
			return out, err
		}
	}
	out.cpu = (cpuTime() - cpu) / reads
	now := list.Traffic()
	out.bytes = float64(now.Sent-moved.Sent+now.Received-moved.Received) / reads
	return out, nil
}

func targetsOf(hosts []jwhost.Host) []jwtarget.Target {
	var out []jwtarget.Target
	for _, h := range hosts {
		if h.Role == jwhost.Target {
			out = append(out, jwtarget.Target{Address: h.Address, Service: h.Service, Region: h.Region, State: jwtarget.Live})
		}
	}
	return out
}

// askDirectory measures one whole read of the client directory.
func askDirectory(ctx context.Context, workspaces int) (whole, unchanged asked, err error) {
	clients := &jwstand.Clients{}
	var all []jwstand.Client
	for i := range workspaces {
		all = append(all, jwstand.Client{
			Name: fmt.Sprintf("workspace-%05d", i), Region: fmt.Sprintf("region-%02d", i%Regions),
			Bound: i%8 == 0, Owner: fmt.Sprintf("owner-%d", i%50),
		})
	}
	clients.Set(all)
	stand := &jwstand.Stand{Program: clients}
	stop, err := stand.Start()
	if err != nil {
		return whole, unchanged, err
	}
	defer func() { _ = stop() }()
	directory := &jwconsul.Directory{Address: stand.Address}
	ask := func(version string) (asked, *jwdirectory.Snapshot, error) {
		before, cpu := directory.Traffic(), cpuTime()
		s, err := directory.Fetch(ctx, version)
		after := directory.Traffic()
		return asked{
			bytes: float64(after.Sent - before.Sent + after.Received - before.Received), cpu: cpuTime() - cpu,
		}, s, err
	}
	before := heap()
	whole, snapshot, err := ask("")
	if err != nil {
		return whole, unchanged, err
	}
	whole.heap = max(heap()-before, 0)
	unchanged, _, err = ask(snapshot.Version)
	return whole, unchanged, err
}
