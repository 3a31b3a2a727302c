package jwinstance

import "container/list"

// cacheMemoryRatio is the fraction of an engine's memory that is assumed to cache prompts. The
// answers of running requests take the rest.
const cacheMemoryRatio = 0.9

// defaultCapacity is the assumed memory of an engine, in tokens, until it is known.
const defaultCapacity = 100_000

// cache estimates which parts of prompts a target keeps in memory: the most recently sent ones, as
// many as fit. The zero value is an empty cache.
type cache struct {
	parts  map[uint64]*list.Element // elements of lru by part ID
	lru    list.List                // of cachedPart, most recently used first
	tokens int
}

// cachedPart is one part in a cache.
type cachedPart struct {
	id     uint64
	tokens int
}

// missingTokens returns how many tokens of a prompt have to be read. A part can be reused only
// together with all parts before it.
func (c *cache) missingTokens(p Prompt) int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	if _, kept := c.parts[p.Parts[0].ID]; !kept {
		return p.Tokens // without its first part no other part can be reused
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

// markUsed records that parts were sent to the target; capacity is the target's memory in tokens,
// or 0 if not known.
func (c *cache) markUsed(parts []Part, capacity int) {
	if c.parts == nil {
		c.parts = make(map[uint64]*list.Element)
	}
	// The first part is marked last, so that a part is evicted before the parts that it depends on.
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
