package jwclaim

// keepAnswer holds a finished call for those who ask again, and evicts the oldest
// answers past AnswerBytes; k.mu is held.
func (k *Keeper) keepAnswer(c *Call) {
	c.size = callOverhead + len(c.answer.Body) + len(c.answer.ContentType)
	k.counts.AnswerBytes += uint64(c.size)
	c.element = k.keptCalls.PushBack(c)
	for k.counts.AnswerBytes > uint64(k.MaxAnswerBytes) {
		k.counts.Evicted++
		k.forget(k.keptCalls.Front().Value.(*Call))
	}
}

// forget takes a call out of memory. Its ticket stays used and its claim stays
// in the log, so that the key is unknown from now on; k.mu is held.
func (k *Keeper) forget(c *Call) {
	if c.element != nil {
		k.keptCalls.Remove(c.element)
		k.counts.AnswerBytes -= uint64(c.size)
		c.element = nil
	}
	k.removeCall(c)
}

// removeCall takes a call out of the tables; k.mu is held.
func (k *Keeper) removeCall(c *Call) {
	if k.calls[c.ref] == c {
		delete(k.calls, c.ref)
	}
	if k.claims[c.claim] == c {
		delete(k.claims, c.claim)
	}
}

// releaseKey frees the key of a call that was certainly not run; k.mu is held.
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

// expire forgets what is past its memory and has the slots that are this
// node's to tend look for segments to delete.
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
