package jwinstance

import "container/list"

// freeShare is the part of an engine's memory that is taken to keep prompts;
// the rest is taken by the answers of what runs.
const freeShare = 0.9

// firstCapacity is the memory of an engine, in tokens, until it is known.
const firstCapacity = 100_000

// cache estimates which parts of prompts a target keeps in memory: those
// sent there last, as far as its memory goes. The zero value keeps nothing.
type cache struct {
	parts  map[uint64]*list.Element // of held
	order  list.List                // the latest use first
	tokens int
}

// held is one part that a target keeps.
type held struct {
	id     uint64
	tokens int
}

// missing returns the tokens of a prompt that have to be read: a part is kept
// only together with all parts before it.
func (c *cache) missing(p Prompt) int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	if _, kept := c.parts[p.Parts[0].ID]; !kept {
		return p.Tokens // without its beginning none of the rest counts
	}
	miss, kept := 0, true
	for _, part := range p.Parts {
		if kept {
			_, kept = c.parts[part.ID]
		}
		if !kept {
			miss += part.Tokens
		}
	}
	return miss
}

// use notes that parts were sent there; capacity is the target's memory.
func (c *cache) use(parts []Part, capacity int) {
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	// The first part is used last, so that a part goes before those it needs.
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := c.parts[part.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[part.ID] = c.order.PushFront(held{part.ID, part.Tokens})
		c.tokens += part.Tokens
	}
	if capacity <= 0 {
		capacity = firstCapacity
	}
	for c.tokens > int(freeShare*float64(capacity)) && c.order.Len() > 0 {
		e := c.order.Back()
		h, _ := c.order.Remove(e).(held)
		delete(c.parts, h.id)
		c.tokens -= h.tokens
	}
}
