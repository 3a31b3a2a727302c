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

const (
	readyLimit  = 8 * time.Second
	acceptLimit = 5 * time.Second
	spreadLimit = 5 * time.Second
)

// Demo is the demo; its zero value runs.
type Demo struct{}

// Run runs the demo and writes what happens to w. It returns an error when
// anything was not as promised.
func (Demo) Run(ctx context.Context, w io.Writer) error {
	jwrest.Quiet()
	t := &teller{w: w}
	began := time.Now()
	t.say("starting a node, four model runners and a plain service in each of three regions")
	s, err := start(ctx)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	p := &play{teller: t, system: s, caller: newCaller()}
	err = p.run(ctx)
	if closeErr := s.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	t.say("stopped after %s", time.Since(began).Round(100*time.Millisecond))
	return t.verdict()
}

// play is one run of the demo.
type play struct {
	*teller
	*system
	*caller
}

func (p *play) run(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"the catalogue goes in", p.catalogue},
		{"a draft is streamed in each region", p.drafts},
		{"an order's status is looked up", p.lookups},
		{"a confirmation is pressed twice at the same moment", p.confirmations},
		{"irbid-a loses its model runners", p.lostCapacity},
		{"the regions lose each other, and aqaba-a also the platform", p.partition},
		{"a request crashes each runner that takes it", p.crash},
	}
	for i, step := range steps {
		p.say("\n%d. %s", i+1, step.title)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	p.summary(p.answers)
	p.say("   sent away by the nodes' own counters: %.0f request(s), %.0f bytes", p.total("sent_away_total"), p.total("sent_away_bytes_total"))
	p.say("   over the links: %d kB between nodes, %d kB to the platform", p.passed(p.between)/1000, p.passed(p.toPlatform())/1000)
	return nil
}

func (p *play) catalogue(ctx context.Context) error {
	at := p.nodes[regions[0]].OperatorsAddr()
	began := time.Now()
	for i, e := range entries() {
		err := p.await(readyLimit, "the first edits", func() bool {
			_, err := p.put(ctx, at, edit(fmt.Sprint("demo-", i), e), acceptLimit)
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	err := p.await(acceptLimit, "the catalogue accepted", func() bool {
		s, err := p.standing(ctx, at)
		return err == nil && s.Accepted && s.Revision == uint64(len(entries()))
	})
	if err != nil {
		return err
	}
	p.say("   %d entries in force at all %d nodes after %s", len(entries()), len(p.nodes), since(began))
	return p.awaitTargets(ctx)
}

// awaitTargets sends until each node answers; nodes learn of targets by a list
// that they read now and then.
func (p *play) awaitTargets(ctx context.Context) error {
	for region, n := range p.nodes {
		for _, in := range []request{
			{to: n.CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("ready?", 1)},
			{to: n.CallersAddr(), entry: lookup, workspace: "family-" + region, body: []byte("ready?")},
		} {
			if err := p.await(readyLimit, region+" ready", func() bool { return p.send(ctx, in).served() }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *play) drafts(ctx context.Context) error {
	const tokens = 80
	for _, region := range regions {
		text := "a full menu for the hall in " + region
		a := p.send(ctx, request{
			to: p.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt(text, tokens),
		})
		p.keep(a)
		p.say("   %s: %d tokens, the first after %s, all after %s, served by %s",
			region, a.events, short(a.first), short(a.whole), a.region)
		p.check(a.served() && a.events == tokens, "the whole draft came (%s)", region)
	}
	return nil
}

func (p *play) lookups(ctx context.Context) error {
	for _, region := range regions {
		p.keep(p.lookup(ctx, region))
	}
	a := p.answers[len(p.answers)-1]
	p.say("   answered by %s after %s", a.region, short(a.whole))
	p.check(a.served(), "the lookup was answered")

	strange := p.send(ctx, request{
		to: p.nodes[regions[1]].CallersAddr(), entry: lookup, workspace: "family-" + regions[0], body: []byte("order 17"),
	})
	p.say("   the same question at a node of another region: %d %s", strange.status, strange.outcome)
	p.check(strange.status == http.StatusMisdirectedRequest && strange.outcome == "notRun",
		"data bound to %s was refused in %s", regions[0], regions[1])
	return nil
}

func (p *play) lookup(ctx context.Context, region string) answer {
	return p.send(ctx, request{
		to: p.nodes[region].CallersAddr(), entry: lookup, workspace: "family-" + region, body: []byte("order 17"),
	})
}

func (p *play) confirmations(ctx context.Context) error {
	region := regions[1]
	const key = "deposit-of-the-bar-mitzvah"
	in := request{
		to: p.nodes[region].CallersAddr(), entry: confirmation, workspace: "family-" + region,
		key: key, body: []byte("deposit 250"),
	}
	both := make([]answer, 2)
	var wg sync.WaitGroup
	for i := range both {
		wg.Go(func() { both[i] = p.send(ctx, in) })
	}
	wg.Wait()
	p.keep(both...)
	runs := p.runs(key)
	p.say("   both presses answered after %s and %s; the desk ran it %d time(s)", short(both[0].whole), short(both[1].whole), runs)
	p.check(both[0].served() && both[1].served() && both[0].body == both[1].body, "both presses got the same whole answer")
	p.check(runs == 1, "the deposit was taken once")
	return nil
}

// lostCapacity takes the runners of a region away, so that its drafts have to
// be written elsewhere, and those whose data is bound to it nowhere.
func (p *play) lostCapacity(ctx context.Context) error {
	region := regions[1]
	p.takeDown(region)
	defer p.revive(region)
	in := request{to: p.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("a menu for many", 40)}
	var away answer
	began := time.Now()
	err := p.await(spreadLimit, "a draft served elsewhere", func() bool {
		away = p.send(ctx, in)
		p.keep(away)
		return away.served()
	})
	if err != nil {
		return err
	}
	in.workspace = "family-" + region
	bound := p.send(ctx, in)
	p.keep(bound)
	p.say("   a draft is served by %s after %s; one whose data is bound: %d %s after %s",
		away.region, since(began), bound.status, bound.outcome, short(bound.whole))
	p.check(away.region != region, "another region wrote the draft")
	p.check(!bound.served() && bound.outcome == "notRun", "bound data stayed in %s", region)
	return nil
}

// partition cuts all links between regions, and one region off the platform.
func (p *play) partition(ctx context.Context) error {
	alone := regions[2]
	p.cut(alone)
	a := p.lookup(ctx, alone)
	p.keep(a)
	key, err := p.ticket(ctx, p.nodes[alone].CallersAddr())
	if err != nil {
		return err
	}
	c := p.send(ctx, request{
		to: p.nodes[alone].CallersAddr(), entry: confirmation, workspace: "family-" + alone, key: key, body: []byte("deposit 90"),
	})
	p.keep(c)
	p.say("   %s alone: lookup %s after %s, confirmation by ticket %s after %s",
		alone, a.outcome, short(a.whole), c.outcome, short(c.whole))
	p.check(a.served() && c.served(), "%s went on serving its own callers", alone)

	at := p.nodes[regions[0]].OperatorsAddr()
	standing, err := p.put(ctx, at, edit("demo-question", question()), 500*time.Millisecond)
	if err != nil {
		return err
	}
	p.say("   an edit in %s: written as change %d, accepted: %t, missing: %v",
		regions[0], standing.Revision, standing.Accepted, standing.Missing)
	p.check(!standing.Accepted, "the edit was not called accepted during the cut")

	p.mend(alone)
	began := time.Now()
	err = p.await(spreadLimit, "the edit accepted after the cut", func() bool {
		s, err := p.standing(ctx, at)
		return err == nil && s.Accepted && s.Revision == standing.Revision
	})
	p.say("   mended: the edit is in force everywhere after %s", since(began))
	p.check(err == nil, "the edit was accepted after the cut")
	return nil
}

// crash sends a request that ends each runner that takes it, again and again
// as its caller would.
func (p *play) crash(ctx context.Context) error {
	region := regions[0]
	in := request{
		to: p.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt(poison, 20),
	}
	tries := 0
	var last answer
	for tries < 6 && last.status != http.StatusUnprocessableEntity {
		last = p.send(ctx, in)
		p.keep(last)
		tries++
	}
	good := p.send(ctx, request{
		to: p.nodes[region].CallersAddr(), entry: draft, workspace: "hall-" + region, body: prompt("a plain menu", 20),
	})
	p.keep(good)
	crashed := p.revive(region)
	p.say("   sent %d time(s), crashed %d of %d runners, then answered %d %s", tries, crashed, runnersPerHome, last.status, last.outcome)
	p.say("   another draft in %s meanwhile: %s after %s", region, good.outcome, short(good.whole))
	p.check(last.status == http.StatusUnprocessableEntity, "the request was quarantined")
	p.check(crashed <= 2, "it crashed no more than two runners")
	p.check(good.served(), "other drafts were served meanwhile")
	return nil
}

func edit(id string, e jwcatalogue.Entry) jwoperate.EditBody {
	return jwoperate.EditBody{Entry: &e, Author: "demo", Reason: "to show an edit", EditID: id}
}
