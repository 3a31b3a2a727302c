package jwinstance

import "container/list"

// freeShare is the part of an engine's memory that is taken to keep prompts;
// the rest is taken by the answers of what runs.
const cacheMemoryRatio = 0.9

// firstCapacity is the memory of an engine, in tokens, until it is known.
const defaultCapacity = 100_000

// cache estimates which parts of prompts a target keeps in memory: those
// sent there last, as far as its memory goes. The zero value keeps nothing.
type cache struct {
	parts  map[uint64]*list.Element // of held
	lru    list.List                // the latest use first
	tokens int
}

// held is one part that a target keeps.
type cachedPart struct {
	id     uint64
	tokens int
}

// missing returns the tokens of a prompt that have to be read: a part is kept
// only together with all parts before it.
func (c *cache) missingTokens(p Prompt) int {
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
func (c *cache) markUsed(parts []Part, capacity int) {
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	// The first part is used last, so that a part goes before those it needs.
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := c.parts[part.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[part.ID] = c.lru.PushFront(cachedPart{part.ID, part.Tokens})
		c.tokens += part.Tokens
	}
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	for c.tokens > int(cacheMemoryRatio*float64(capacity)) && c.lru.Len() > 0 {
		e := c.lru.Back()
		h, _ := c.lru.Remove(e).(cachedPart)
		delete(c.parts, h.id)
		c.tokens -= h.tokens
	}
}
