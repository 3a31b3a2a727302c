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
	for i, b := range p {
		afterCR := s.afterCR
		s.afterCR = b == '\r'
		switch {
		case b != '\r' && b != '\n':
			s.inLine, s.inEvent = true, true
		case b == '\n' && afterCR:
			if !s.inEvent {
				complete = i + 1
			}
		case s.inLine:
			s.inLine = false
		default:
			if s.inEvent {
				s.inEvent = false
				events++
			}
			complete = i + 1
		}
	}
	return complete, events
}

// InEvent reports whether the bytes scanned so far end inside an event.
func (s *Scanner) InEvent() bool { return s.inEvent }
