package jwclaim

// keepAnswer keeps a finished call for later callers with the same key, and
// evicts the oldest answers while their size exceeds MaxAnswerBytes; k.mu is
// held.
func (k *Keeper) keepAnswer(c *Call) {
	c.size = callOverhead + len(c.answer.Body) + len(c.answer.ContentType)
	k.counts.AnswerBytes += uint64(c.size)
	c.element = k.keptCalls.PushBack(c)
	for k.counts.AnswerBytes > uint64(k.MaxAnswerBytes) {
		k.counts.Evicted++
		k.forget(k.keptCalls.Front().Value.(*Call))
	}
}

// forget removes a call and its kept answer. Its ticket stays used and its
// claim stays in the log, so that the key is answered as unknown from now on;
// k.mu is held.
func (k *Keeper) forget(c *Call) {
	if c.element != nil {
		k.keptCalls.Remove(c.element)
		k.counts.AnswerBytes -= uint64(c.size)
		c.element = nil
	}
	k.removeCall(c)
}

// removeCall removes a call from the tables; k.mu is held.
func (k *Keeper) removeCall(c *Call) {
	if k.calls[c.ref] == c {
		delete(k.calls, c.ref)
	}
	if k.claims[c.claim] == c {
		delete(k.claims, c.claim)
	}
}

// releaseKey frees the key of a call that certainly did not run; k.mu is held.
func (k *Keeper) releaseKey(c *Call) {
	k.counts.Releases++
	k.removeCall(c)
	if c.slot != nil {
		c.slot.enqueue(&item{kind: releaseItem, id: c.claim, key: c.ref.key})
		return
	}
	if s := k.serialsOf(c.ref.incarnation); s != nil {
		s.markUnused(c.ref.serial)
	}
}

// expire drops calls and moves that have expired, and starts a search for
// expired segments in the slots that this node is preferred for.
func (k *Keeper) expire() {
	var nodes []string
	if k.Peers != nil {
		nodes = k.Peers.Serving(k.Region)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for e := k.keptCalls.Front(); e != nil; {
		c := e.Value.(*Call)
		e = e.Next()
		if !now.Before(c.until) {
			k.forget(c)
		}
	}
	k.expireMoves(now)
	for n := range k.SlotsPerRegion {
		prefix := slotPrefix(k.Region, n)
		if len(nodes) == 0 || preferred(prefix, nodes) == k.Node {
			s := k.slotForPrefix(prefix)
			s.sweepPending = true
			s.lastUsed = now
			s.startWorker()
		}
	}
	for prefix, s := range k.slots {
		if !s.busy && now.Sub(s.lastUsed) > 2*k.SweepInterval {
			delete(k.slots, prefix)
		}
	}
}
