package jwevent

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// BOM is the byte order mark, which may precede the first line of a stream.
const BOM = "\ufeff"

var (
	byteOrderMark = []byte(BOM)
	colon         = []byte{':'}
)

// Series checks that the events of a stream have consecutive numbers as identifiers and consist of
// fields. The zero value is at the beginning of a stream that may also have no numbers at all, which its
// first two events show.
type Series struct {
	Numbered bool   // a stream without numbers is not accepted
	Field    string // name of a further field that an event may begin with, whose value is a number; "" for none

	state state
	begun bool // a block was checked
	due   uint64
}

// state is what the events so far have shown of a series.
type state int

const (
	unknown    state = iota
	undecided        // the only event has no number
	numbered         // the next event is due
	unnumbered       // no event has a number
)

// Block is what a block of lines that a blank line ends is.
type Block int

// Kinds of blocks.
const (
	NoEvent   Block = iota // comments and settings only
	Event                  // an event of the series, and so is one that was undecided before it
	Undecided              // an event of the series if the next one, or the end of the stream, doesn't show otherwise
)

// Fault is why a block is not the next one of a series. The zero value stands for none.
type Fault struct {
	Kind        FaultKind
	number, due uint64
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	NotUTF8        FaultKind = "encoding"
	NotField       FaultKind = "field"
	NoNumber       FaultKind = "no_number"
	SeveralIDs     FaultKind = "several_identifiers"
	NotDue         FaultKind = "not_due"
	UnwantedNumber FaultKind = "number"
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{NotUTF8, NotField, NoNumber, SeveralIDs, NotDue, UnwantedNumber}
}

// String describes the fault.
func (f Fault) String() string {
	switch f.Kind {
	case NotUTF8:
		return "an event is not UTF-8"
	case NotField:
		return "a line of an event is no field"
	case NoNumber:
		return "an event has no number"
	case SeveralIDs:
		return "an event has several identifiers"
	case NotDue:
		return fmt.Sprintf("event %d where %d was due", f.number, f.due)
	case UnwantedNumber:
		return fmt.Sprintf("event %d in a stream without numbers", f.number)
	}
	return ""
}

// Resume makes the event after the one with an identifier due, if that is a number.
func (s *Series) Resume(id string) {
	if n, ok := number([]byte(id)); ok {
		s.state, s.due = numbered, n+1
	}
}

// Next checks the next block. After a fault the series is of no further use.
func (s *Series) Next(block []byte) (Block, Fault) {
	if !s.begun {
		s.begun = true
		block = bytes.TrimPrefix(block, byteOrderMark)
	}
	if !utf8.Valid(block) {
		return NoEvent, Fault{Kind: NotUTF8}
	}
	c, fault := s.parse(block)
	if fault != "" {
		return NoEvent, Fault{Kind: fault}
	}
	if !c.event {
		return NoEvent, Fault{}
	}
	return s.step(c.number, c.hasNumber)
}

// step checks the number of the next event.
func (s *Series) step(n uint64, has bool) (Block, Fault) {
	switch {
	case s.state == numbered && has && n != s.due:
		return NoEvent, Fault{NotDue, n, s.due}
	case s.state == numbered && !has, s.state == undecided && has, s.state == unknown && s.Numbered && !has:
		return NoEvent, Fault{Kind: NoNumber}
	case s.state == unnumbered && has:
		return NoEvent, Fault{Kind: UnwantedNumber, number: n}
	case has:
		s.state, s.due = numbered, n+1
		return Event, Fault{}
	case s.state == unknown:
		s.state = undecided
		return Undecided, Fault{}
	}
	s.state = unnumbered
	return Event, Fault{}
}

// content is what the lines of a block say.
type content struct {
	event     bool // it has a field other than those of NoEvent
	hasID     bool
	hasNumber bool
	number    uint64
}

func (s *Series) parse(block []byte) (c content, fault FaultKind) {
	first := true // no field came before
	onlyLF := bytes.IndexByte(block, '\r') < 0
	for len(block) > 0 {
		end := lineLength(block, onlyLF)
		line := block[:end]
		block = block[min(end+1, len(block)):]
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, _ := bytes.Cut(line, colon)
		switch string(name) {
		case "id":
			if c.hasID {
				return c, SeveralIDs
			}
			c.event, c.hasID = true, true
			c.number, c.hasNumber = number(value)
		case "data", "event":
			c.event = true
		case "retry":
			if _, ok := number(value); !ok {
				return c, NotField
			}
		default:
			_, ok := number(value)
			if !ok || !first || s.Field == "" || string(name) != s.Field {
				return c, NotField
			}
		}
		first = false
	}
	return c, ""
}

// lineLength returns the length of the first line without its end. onlyLF is whether each line ends
// with an LF.
func lineLength(p []byte, onlyLF bool) int {
	if onlyLF {
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			return i
		}
		return len(p)
	}
	for i, b := range p {
		if isLineEnd(b) {
			return i
		}
	}
	return len(p)
}

// maxDigits is the length of the longest identifier that counts as a number.
const maxDigits = 18

// number returns the number that a value, which spaces may surround, consists of.
func number(value []byte) (n uint64, ok bool) {
	value = bytes.Trim(value, " \t")
	if len(value) == 0 || len(value) > maxDigits {
		return 0, false
	}
	for _, b := range value {
		if b < '0' || b > '9' {
			return 0, false
		}
		n = 10*n + uint64(b-'0')
	}
	return n, true
}

// IsNumber reports whether an identifier is a number.
func IsNumber(id string) bool {
	_, ok := number([]byte(id))
	return ok
}
