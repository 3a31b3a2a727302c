package jwinstance

import "slices"

// cacheParts bounds the parts remembered of one target; a part takes about 40
// bytes, so a target takes some 40 KB at most.
const cacheParts = 1024

// cache is the belief which parts of prompts a target keeps in memory: those
// sent there last. The target itself drops the least recently used parts.
type cache struct {
	parts map[uint64]int64 // part to the tick of its last use
	tick  int64
}

// missing returns the tokens of a prompt that have to be read: a part is kept
// only together with all parts before it.
func (c *cache) missing(p Prompt) int {
	miss, held := 0, true
	for _, part := range p.Parts {
		if held {
			_, held = c.parts[part.ID]
		}
		if !held {
			miss += part.Tokens
		}
	}
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return miss
}

// use notes that a prompt was sent there.
func (c *cache) use(p Prompt) {
	c.tick++
	for _, part := range p.Parts {
		c.set(part.ID)
	}
	c.bound()
}

// hold notes that parts were sent there by another node.
func (c *cache) hold(parts []uint64) {
	c.tick++
	for _, id := range parts {
		c.set(id)
	}
	c.bound()
}

func (c *cache) set(id uint64) {
	if c.parts == nil {
		c.parts = make(map[uint64]int64)
	}
	c.parts[id] = c.tick
}

// bound drops the older half of the parts at once, which keeps the cost of a
// use constant on average.
func (c *cache) bound() {
	if len(c.parts) <= cacheParts {
		return
	}
	ticks := make([]int64, 0, len(c.parts))
	for _, tick := range c.parts {
		ticks = append(ticks, tick)
	}
	slices.Sort(ticks)
	middle := ticks[len(ticks)/2]
	for id, tick := range c.parts {
		if tick < middle {
			delete(c.parts, id)
		}
	}
}
