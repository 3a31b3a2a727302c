package jwclaim

// keep holds a finished call for those who ask again, and evicts the oldest
// answers past AnswerBytes; k.mu is held.
func (k *Keeper) keep(c *Call) {
	c.size = callOverhead + len(c.answer.Body) + len(c.answer.ContentType)
	k.counts.AnswerBytes += uint64(c.size)
	c.element = k.kept.PushBack(c)
	for k.counts.AnswerBytes > uint64(k.AnswerBytes) {
		k.counts.Evicted++
		k.forget(k.kept.Front().Value.(*Call))
	}
}

// forget takes a call out of memory. Its ticket stays used and its claim stays
// in the log, so that the key is unknown from now on; k.mu is held.
func (k *Keeper) forget(c *Call) {
	if c.element != nil {
		k.kept.Remove(c.element)
		k.counts.AnswerBytes -= uint64(c.size)
		c.element = nil
	}
	k.drop(c)
}

// drop takes a call out of the tables; k.mu is held.
func (k *Keeper) drop(c *Call) {
	if k.calls[c.ref] == c {
		delete(k.calls, c.ref)
	}
	if k.claims[c.claim] == c {
		delete(k.claims, c.claim)
	}
}

// giveBack frees the key of a call that was certainly not run; k.mu is held.
func (k *Keeper) giveBack(c *Call) {
	k.counts.Releases++
	k.drop(c)
	if c.slot != nil {
		c.slot.add(&item{kind: releaseItem, id: c.claim, key: c.ref.key})
		return
	}
	if s := k.serialsOf(c.ref.incarnation); s != nil {
		s.clear(c.ref.serial)
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
	for e := k.kept.Front(); e != nil; {
		c := e.Value.(*Call)
		e = e.Next()
		if !now.Before(c.until) {
			k.forget(c)
		}
	}
	k.expireMoves(now)
	for n := range k.Slots {
		prefix := slotPrefix(k.Region, n)
		if len(nodes) == 0 || preferred(prefix, nodes) == k.Node {
			s := k.slotAt(prefix)
			s.sweep = true
			s.used = now
			s.kick()
		}
	}
	for prefix, s := range k.slots {
		if !s.busy && now.Sub(s.used) > 2*k.Sweep {
			delete(k.slots, prefix)
		}
	}
}
