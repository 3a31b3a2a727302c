package jwevent

import "bytes"

// idField is the field with an event's identifier.
var idField = []byte("id:")

// FirstID returns the identifier of the first event that has one, "" if none has. A byte order mark
// may precede the events.
func FirstID(events []byte) string {
	events = bytes.TrimPrefix(events, byteOrderMark)
	for i := 0; i >= 0; {
		if bytes.HasPrefix(events[i:], idField) {
			return idOf(events[i:])
		}
		i = nextLine(events, i)
	}
	return ""
}

// LastID returns the identifier of the last event that has one, "" if none has. A byte order mark may
// precede the events.
func LastID(events []byte) string {
	events = bytes.TrimPrefix(events, byteOrderMark)
	for end := len(events); ; {
		i := bytes.LastIndex(events[:end], idField)
		switch {
		case i < 0:
			return ""
		case i == 0 || isLineEnd(events[i-1]):
			return idOf(events[i:])
		}
		end = i
	}
}

// idOf returns the identifier in a line that starts with idField.
func idOf(line []byte) string {
	line = line[len(idField):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}

// nextLine returns where the next line starts, -1 if there is none.
func nextLine(p []byte, from int) int {
	end := bytes.IndexAny(p[from:], "\r\n")
	if end < 0 {
		return -1
	}
	return from + end + 1
}

func isLineEnd(b byte) bool { return b == '\r' || b == '\n' }
