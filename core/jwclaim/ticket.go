package jwclaim

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	ticketPrefix    = "jt1."
	ticketMacSize   = 16 // bytes
	maxTicketLength = 512
)

// ErrTicket says that a ticket was not minted by a node of this system.
var ErrTicket = errors.New("not a ticket of this system")

// Ticket is the content of a minted key: the only process that may run it, and
// a serial number.
type Ticket struct {
	Holder
	Serial uint64
}

// IsTicket reports whether a key has the form of a ticket; it may still be
// forged.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// Mint returns a new ticket that only this process may run. It fails unless the
// keeper runs and is not closed.
func (k *Keeper) Mint() (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || !k.running {
		return "", errors.Errorf("mint ticket: %s does not take new calls", k.Node)
	}
	k.ownSerials.minted++
	return signTicket(k.ticketSecret, Ticket{Holder: k.self(), Serial: k.ownSerials.minted}), nil
}

// ParseTicket returns the content of a ticket, or ErrTicket if it is forged.
func (k *Keeper) ParseTicket(key string) (Ticket, error) {
	k.initOnce.Do(k.initialize)
	return verifyTicket(k.ticketSecret, key)
}

func (k *Keeper) beginTicket(ctx context.Context, a KeyedCall) Decision {
	t, err := k.ParseTicket(a.Key)
	if err != nil {
		return Decision{Verdict: Rejected}
	}
	hash := k.bodyHash(a)
	for {
		d, wait := k.decideTicket(t, hash, a.KeyMemory)
		if wait == nil {
			return d
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return k.unknownTicketDecision()
		}
	}
}

// decideTicket decides on a ticket, or returns a channel to wait on before the
// next attempt.
func (k *Keeper) decideTicket(t Ticket, hash bodyHash, keyMemory time.Duration) (Decision, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.running {
		return k.unknownDecision(), nil
	}
	s := k.serialsOf(t.Incarnation)
	if s == nil {
		return k.elsewhereDecision(t.Holder), nil
	}
	if t.Serial > s.minted {
		return Decision{Verdict: Rejected}, nil
	}
	ref := callRef{incarnation: t.Incarnation, serial: t.Serial}
	if c := k.calls[ref]; c != nil {
		return k.decideByCall(c, hash), nil
	}
	if s.isUsed(t.Serial) {
		return k.unknownDecision(), nil
	}
	if k.closed {
		return k.decideClosedTicket(s)
	}
	if !s.runnable {
		return k.unknownDecision(), nil
	}
	s.markUsed(t.Serial)
	c := &Call{k: k, ref: ref, body: hash, until: k.now().Add(keyMemory), done: make(chan struct{}), state: stateHeld}
	k.unsettledCalls++
	k.calls[ref] = c
	k.counts.Tickets++
	return Decision{Verdict: Run, Call: c}, nil
}

func (k *Keeper) serialsOf(incarnation string) *serials {
	if incarnation == k.Incarnation {
		return &k.ownSerials
	}
	if a := k.adopted[incarnation]; a != nil {
		return &a.serials
	}
	return nil
}

func signTicket(secret []byte, t Ticket) string {
	b := make([]byte, 0, 3+len(t.Node)+len(t.Region)+len(t.Incarnation)+binary.MaxVarintLen64+ticketMacSize)
	for _, s := range []string{t.Node, t.Region, t.Incarnation} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, t.Serial)
	b = append(b, ticketMac(secret, b)...)
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(b)
}

func verifyTicket(secret []byte, key string) (Ticket, error) {
	text, ok := strings.CutPrefix(key, ticketPrefix)
	// The base64 decoder skips line ends, and would accept a text that was not
	// minted.
	if !ok || len(key) > maxTicketLength || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, ErrTicket
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < ticketMacSize {
		return Ticket{}, ErrTicket
	}
	body, mac := b[:len(b)-ticketMacSize], b[len(b)-ticketMacSize:]
	// Without this check a caller could name another process or a serial that
	// was never minted, and run its call under the ticket of another caller.
	if !hmac.Equal(mac, ticketMac(secret, body)) {
		return Ticket{}, ErrTicket
	}
	var t Ticket
	for _, s := range []*string{&t.Node, &t.Region, &t.Incarnation} {
		n, w := binary.Uvarint(body)
		if w <= 0 || n > uint64(len(body)-w) {
			return Ticket{}, ErrTicket
		}
		*s = string(body[w : w+int(n)])
		body = body[w+int(n):]
	}
	serial, w := binary.Uvarint(body)
	if w <= 0 || w != len(body) || serial == 0 {
		return Ticket{}, ErrTicket
	}
	t.Serial = serial
	return t, nil
}

func ticketMac(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:ticketMacSize]
}

// serials records the tickets of one process, one bit per ticket, so that a
// used ticket stays used after its answer is dropped.
type serials struct {
	minted uint64
	used   []uint64
	// runnable says whether unused tickets may run here.
	runnable bool
}

func (s *serials) isUsed(n uint64) bool {
	word := n / 64
	return word < uint64(len(s.used)) && s.used[word]&(1<<(n%64)) != 0
}

func (s *serials) markUsed(n uint64) {
	for n/64 >= uint64(len(s.used)) {
		s.used = append(s.used, 0)
	}
	s.used[n/64] |= 1 << (n % 64)
}

func (s *serials) markUnused(n uint64) {
	if n/64 < uint64(len(s.used)) {
		s.used[n/64] &^= 1 << (n % 64)
	}
}
