package jwdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/io/jwoperate"
	"jujubewheel/io/jwrest"
)

// Maximum times that the demo waits for a state.
const (
	readyTimeout    = 8 * time.Second // for nodes that take edits and have found their targets
	acceptTimeout   = 5 * time.Second // for an edit to be in force at all nodes
	recoveryTimeout = 5 * time.Second // for the system to adapt to a failure or its end
)

// Demo runs the demo; the zero value is ready to use.
type Demo struct{}

// Run runs the demo and writes what happens to w. It returns an error if the
// system can't be started or a check fails.
func (Demo) Run(ctx context.Context, w io.Writer) error {
	jwrest.DisableGoZeroDefaults()
	r := &reporter{w: w}
	began := time.Now()
	r.printLine("starting a node, four model runners and a plain service in each of three regions")
	s, err := start(ctx)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	d := &demoRun{reporter: r, system: s, caller: newCaller()}
	err = d.run(ctx)
	if closeErr := s.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	r.printLine("stopped after %s", time.Since(began).Round(100*time.Millisecond))
	return r.result()
}

// demoRun is the state of one run of the demo.
type demoRun struct {
	*reporter
	*system
	*caller
}

func (d *demoRun) run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"the catalogue is written", d.writeCatalogue},
		{"a draft is streamed in each region", d.streamDrafts},
		{"an order's status is looked up", d.lookUpOrders},
		{"a confirmation is sent twice at the same moment", d.confirmTwice},
		{"irbid-a loses its model runners", d.stopHomeRunners},
		{"the links between the regions are cut, and those of aqaba-a to the platform", d.partition},
		{"a request crashes each runner that takes it", d.crashRunners},
	}
	for i, step := range steps {
		d.printLine("\n%d. %s", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	d.writeSummary(d.answers)
	d.printLine("   sent away by the nodes' own counters: %.0f request(s), %.0f bytes", d.counterTotal("sent_away_total"), d.counterTotal("sent_away_bytes_total"))
	d.printLine("   over the links: %d kB between nodes, %d kB to the platform", d.bytesCarried(d.nodeLinks)/1000, d.bytesCarried(d.allPlatformLinks())/1000)
	return nil
}

func (d *demoRun) writeCatalogue(ctx context.Context) error {
	at := d.nodes[regions[0]].OperatorsAddr()
	began := time.Now()
	for i, e := range entries() {
		err := d.waitFor(readyTimeout, "the first edits", func() bool {
			_, err := d.putEntry(ctx, at, edit(fmt.Sprint("demo-", i), e), acceptTimeout)
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	err := d.waitFor(acceptTimeout, "the catalogue accepted", func() bool {
		s, err := d.status(ctx, at)
		return err == nil && s.Accepted && s.Revision == uint64(len(entries()))
	})
	if err != nil {
		return err
	}
	d.printLine("   %d entries in force at all %d nodes after %s", len(entries()), len(d.nodes), formatElapsed(began))
	return d.waitForTargets(ctx)
}

// waitForTargets sends requests until each node has served one for each service.
// Nodes learn of targets from a list that they poll.
func (d *demoRun) waitForTargets(ctx context.Context) error {
	for region, n := range d.nodes {
		for _, in := range []request{
			{to: n.CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("ready?", 1)},
			{to: n.CallersAddr(), entry: lookup, workspace: "family-" + region, body: []byte("ready?")},
		} {
			if err := d.waitFor(readyTimeout, region+" ready", func() bool { return d.send(ctx, in).served() }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demoRun) streamDrafts(ctx context.Context) error {
	const tokens = 80
	for _, region := range regions {
		text := "a full menu for the hall in " + region
		a := d.send(ctx, request{
			to: d.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt(text, tokens),
		})
		d.record(a)
		d.printLine("   %s: %d tokens, the first after %s, all after %s, served by %s",
			region, a.events, formatMillis(a.firstByteAfter), formatMillis(a.completeAfter), a.servedBy)
		d.check(a.served() && a.events == tokens, "the complete draft came (%s)", region)
	}
	return nil
}

func (d *demoRun) lookUpOrders(ctx context.Context) error {
	for _, region := range regions {
		d.record(d.lookUpOrder(ctx, region))
	}
	a := d.answers[len(d.answers)-1]
	d.printLine("   answered by %s after %s", a.servedBy, formatMillis(a.completeAfter))
	d.check(a.served(), "the lookup was answered")

	misdirected := d.send(ctx, request{
		to: d.nodes[regions[1]].CallersAddr(), entry: lookup, workspace: "family-" + regions[0], body: []byte("order 17"),
	})
	d.printLine("   the same question at a node of another region: %d %s", misdirected.status, misdirected.outcome)
	d.check(misdirected.status == http.StatusMisdirectedRequest && misdirected.outcome == "notRun",
		"data bound to %s was rejected in %s", regions[0], regions[1])
	return nil
}

func (d *demoRun) lookUpOrder(ctx context.Context, region string) answer {
	return d.send(ctx, request{
		to: d.nodes[region].CallersAddr(), entry: lookup, workspace: "family-" + region, body: []byte("order 17"),
	})
}

func (d *demoRun) confirmTwice(ctx context.Context) error {
	region := regions[1]
	const key = "deposit-of-the-bar-mitzvah"
	in := request{
		to: d.nodes[region].CallersAddr(), entry: confirmation, workspace: "family-" + region,
		key: key, body: []byte("deposit 250"),
	}
	both := make([]answer, 2)
	var wg sync.WaitGroup
	for i := range both {
		wg.Go(func() { both[i] = d.send(ctx, in) })
	}
	wg.Wait()
	d.record(both...)
	runs := d.countRuns(key)
	d.printLine("   both calls answered after %s and %s; the desk ran it %d time(s)", formatMillis(both[0].completeAfter), formatMillis(both[1].completeAfter), runs)
	d.check(both[0].served() && both[1].served() && both[0].body == both[1].body, "both calls got the same complete answer")
	d.check(runs == 1, "the deposit was taken once")
	return nil
}

// stopHomeRunners stops the model runners of a region. Its drafts must then be
// served by another region, and those whose data is bound to it must be
// rejected.
func (d *demoRun) stopHomeRunners(ctx context.Context) error {
	region := regions[1]
	d.stopRunners(region)
	defer d.restartRunners(region)
	in := request{to: d.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("a menu for many", 40)}
	var away answer
	began := time.Now()
	err := d.waitFor(recoveryTimeout, "a draft served elsewhere", func() bool {
		away = d.send(ctx, in)
		d.record(away)
		return away.served()
	})
	if err != nil {
		return err
	}
	in.workspace = "family-" + region
	bound := d.send(ctx, in)
	d.record(bound)
	d.printLine("   a draft is served by %s after %s; one whose data is bound: %d %s after %s",
		away.servedBy, formatElapsed(began), bound.status, bound.outcome, formatMillis(bound.completeAfter))
	d.check(away.servedBy != region, "another region wrote the draft")
	d.check(!bound.served() && bound.outcome == "notRun", "bound data stayed in %s", region)
	return nil
}

// partition disconnects the regions from each other, and one region from the
// platform. That region must go on serving its own callers, and an edit made
// during the partition must not be accepted before the links are back.
func (d *demoRun) partition(ctx context.Context) error {
	isolated := regions[2]
	d.disconnect(isolated)
	lookedUp := d.lookUpOrder(ctx, isolated)
	d.record(lookedUp)
	key, err := d.ticket(ctx, d.nodes[isolated].CallersAddr())
	if err != nil {
		return err
	}
	confirmed := d.send(ctx, request{
		to: d.nodes[isolated].CallersAddr(), entry: confirmation, workspace: "family-" + isolated, key: key, body: []byte("deposit 90"),
	})
	d.record(confirmed)
	d.printLine("   %s without links: lookup %s after %s, confirmation by ticket %s after %s",
		isolated, lookedUp.outcome, formatMillis(lookedUp.completeAfter), confirmed.outcome, formatMillis(confirmed.completeAfter))
	d.check(lookedUp.served() && confirmed.served(), "%s went on serving its own callers", isolated)

	at := d.nodes[regions[0]].OperatorsAddr()
	status, err := d.putEntry(ctx, at, edit("demo-question", questionEntry()), 500*time.Millisecond)
	if err != nil {
		return err
	}
	d.printLine("   an edit in %s: written as change %d, accepted: %t, missing: %v",
		regions[0], status.Revision, status.Accepted, status.Missing)
	d.check(!status.Accepted, "the edit was not reported as accepted during the partition")

	d.reconnect(isolated)
	began := time.Now()
	err = d.waitFor(recoveryTimeout, "the edit accepted after the partition", func() bool {
		s, err := d.status(ctx, at)
		return err == nil && s.Accepted && s.Revision == status.Revision
	})
	d.printLine("   links restored: the edit is in force everywhere after %s", formatElapsed(began))
	d.check(err == nil, "the edit was accepted after the partition")
	return nil
}

// crashRunners repeatedly sends a request that crashes each runner that starts
// it, as its caller would, until the request is quarantined.
func (d *demoRun) crashRunners(ctx context.Context) error {
	region := regions[0]
	in := request{
		to: d.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt(crashPrompt, 20),
	}
	tries := 0
	var last answer
	for tries < 6 && last.status != http.StatusUnprocessableEntity {
		last = d.send(ctx, in)
		d.record(last)
		tries++
	}
	good := d.send(ctx, request{
		to: d.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("a plain menu", 20),
	})
	d.record(good)
	crashed := d.restartRunners(region)
	d.printLine("   sent %d time(s), crashed %d of %d runners, then answered %d %s", tries, crashed, runnersPerRegion, last.status, last.outcome)
	d.printLine("   another draft in %s at that time: %s after %s", region, good.outcome, formatMillis(good.completeAfter))
	d.check(last.status == http.StatusUnprocessableEntity, "the request was quarantined")
	d.check(crashed <= 2, "it crashed no more than two runners")
	d.check(good.served(), "other drafts were still served")
	return nil
}

func edit(id string, e jwcatalogue.Entry) jwoperate.EditBody {
	return jwoperate.EditBody{Entry: &e, Author: "demo", Reason: "to show an edit", EditID: id}
}
