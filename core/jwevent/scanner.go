package jwevent

// Scanner finds where events end. Lines end with CR LF, LF or CR, and events with a blank line. The
// zero value is at the beginning of a stream.
type Scanner struct {
	inLine  bool // the current line has bytes
	inEvent bool // the current event has bytes
	afterCR bool // an LF that follows belongs to the last line end
}

// Scan scans the next bytes of the stream. It returns how many of them, from the first one, belong to
// events that are now complete, and the number of these events.
func (s *Scanner) Scan(p []byte) (complete, events int) {
	for at := 0; ; events++ {
		n, event := s.Next(p[at:])
		if n > 0 {
			complete = at + n
		}
		if !event {
			return complete, events
		}
		at = complete
	}
}

// Next scans the next bytes of the stream up to the end of an event and returns how many they are. If
// none ends there, all of p is scanned, and the result is how many bytes, from the first one, belong to
// no event.
func (s *Scanner) Next(p []byte) (n int, event bool) {
	for i, b := range p {
		afterCR := s.afterCR
		s.afterCR = b == '\r'
		switch {
		case b != '\r' && b != '\n':
			s.inLine, s.inEvent = true, true
		case b == '\n' && afterCR:
			if !s.inEvent {
				n = i + 1
			}
		case s.inLine:
			s.inLine = false
		case s.inEvent:
			s.inEvent = false
			return i + 1, true
		default:
			n = i + 1
		}
	}
	return n, false
}

// InEvent reports whether the bytes scanned so far end inside an event.
func (s *Scanner) InEvent() bool { return s.inEvent }
