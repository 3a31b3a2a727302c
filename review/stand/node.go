package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the project, run as the deploy file says.
type node struct {
	name, region, zone                        string
	callers, ready, directory, nodes, metrics string
	settings, log                             string
	cmd                                       *exec.Cmd
	exited                                    chan struct{}
}

// fleet starts nodes with settings as deploy/node.jsonc.tmpl makes them.
type fleet struct {
	dir, program, store string
	zones               map[string]string // region by data centre
	contracts           []string
	bounds              map[string]any
	list                []*node
}

func newFleet(dir, program string, s *store) *fleet {
	return &fleet{
		dir: dir, program: program, store: s.addr, zones: map[string]string{"amman-a": "amman", "irbid-a": "irbid", "aqaba-a": "aqaba"},
		contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"},
		bounds: map[string]any{
			"grace": "8s", "retryRatio": 0.2, "retrySlack": 58, "retryWindow": "10s", "coldRatio": 1.5, "coldSlack": 3,
		},
	}
}

// add adds a node of a data centre without starting it.
func (f *fleet) add(zone string) *node {
	n := &node{
		name: fmt.Sprintf("edge-%s-%d", zone, len(f.list)+1), zone: zone, region: f.zones[zone],
		callers: freeAddr(), ready: freeAddr(), directory: freeAddr(), nodes: freeAddr(), metrics: freeAddr(),
	}
	f.list = append(f.list, n)
	return n
}

func (f *fleet) write(n *node) {
	zones := []map[string]string{}
	for z, r := range f.zones {
		zones = append(zones, map[string]string{"name": z, "region": r})
	}
	seeds := []string{}
	for _, m := range f.list[:min(3, len(f.list))] {
		seeds = append(seeds, m.nodes)
	}
	doc := map[string]any{
		"node": n.name, "region": n.region, "dataCentre": n.zone,
		"gateway": map[string]any{
			"listen":      map[string]string{"callers": n.callers, "ready": n.ready, "directory": n.directory, "nodes": n.nodes, "metrics": n.metrics},
			"store":       map[string]string{"address": f.store, "leaseMin": "1000ms"},
			"dataCentres": zones, "seeds": seeds, "memoryMB": 284, "cores": 0.4, "linkMbps": 1000.0, "overload": "auto",
			"contracts": f.contracts, "bounds": f.bounds,
		},
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	must(err)
	n.settings = filepath.Join(f.dir, n.name+".json")
	n.log = filepath.Join(f.dir, n.name+".log")
	must(os.WriteFile(n.settings, raw, 0o600))
}

// start starts the process of a node.
func (f *fleet) start(n *node) {
	f.write(n)
	out, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command(f.program, "serve")
	n.cmd.Env = append(os.Environ(), "JUJUBEWHEEL_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	out.Close()
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		close(done)
	}(n.cmd, n.exited)
}

// awaitReady waits until all nodes answer the platform's check.
func (f *fleet) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range f.list {
		for !n.isReady() {
			if time.Now().After(end) {
				panic(cantRun{fmt.Errorf("%s isn't ready", n.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// end ends all processes that the case started.
func (f *fleet) end() {
	for _, n := range f.list {
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
}
