package jwcatalogue

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// The limits of an entry. Lengths are in bytes.
const (
	MaxNameLength = 63
	MaxPathLength = 256
	MaxRegions    = 64
	MaxDeadline   = time.Hour
	MaxKeyMemory  = 7 * 24 * time.Hour
	MaxBodyLimit  = 64 << 20 // for MaxBodySize, in bytes
)

// AnyRegion in the regions of an entry allows it to be sent to every region.
const AnyRegion = "*"

// InvalidError lists all faults of an edit.
type InvalidError struct {
	Entry  string
	Faults []string
}

// Error joins the faults into one line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("entry %q: %s", e.Entry, strings.Join(e.Faults, "; "))
}

// Validate returns an InvalidError that names every fault of the entry, or nil.
func (e Entry) Validate() error {
	var f faults
	f.checkName("name", e.Name)
	f.checkName("owner", e.Owner)
	f.checkName("service", e.Service)
	f.checkPath(e.Path)
	switch e.Class {
	case Confirmation, Lookup, Draft:
	default:
		f.add("class %q is not %s, %s or %s", e.Class, Confirmation, Lookup, Draft)
	}
	f.checkDurations(e)
	f.checkNumbers(e)
	f.checkRegions(e)
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{Entry: e.Name, Faults: f}
}

type faults []string

func (f *faults) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

func (f *faults) checkName(key, s string) {
	switch {
	case s == "":
		f.add("%s is empty", key)
	case len(s) > MaxNameLength:
		f.add("%s is longer than %d bytes", key, MaxNameLength)
	case !validName(s):
		f.add("%s %q has other characters than a-z, 0-9, '-', '_' and '.', or does not begin with a letter or digit", key, s)
	}
}

// validName reports whether a name can stand unescaped in a URL path and a key.
func validName(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		default:
			return false
		}
	}
	return s != ""
}

func (f *faults) checkPath(s string) {
	switch {
	case !strings.HasPrefix(s, "/"):
		f.add("path %q does not begin with /", s)
	case len(s) > MaxPathLength:
		f.add("path is longer than %d bytes", MaxPathLength)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }):
		f.add("path %q has spaces, '#' or characters outside ASCII", s)
	}
}

func (f *faults) checkDurations(e Entry) {
	if e.Deadline <= 0 || e.Deadline > MaxDeadline {
		f.add("deadline %s is not above 0 and up to %s", e.Deadline, MaxDeadline)
	}
	if e.FirstToken < 0 || e.FirstToken > e.Deadline {
		f.add("firstToken %s is not between 0 and the deadline", e.FirstToken)
	}
	if e.Progress < 0 || e.Progress > e.Deadline {
		f.add("progress %s is not between 0 and the deadline", e.Progress)
	}
	if e.KeyMemory < 0 || e.KeyMemory > MaxKeyMemory {
		f.add("keyMemory %s is not between 0 and %s", e.KeyMemory, MaxKeyMemory)
	}
	// If a key were forgotten while its call may still run, a retry could run
	// the request twice.
	if !e.Idempotent && e.KeyMemory < e.Deadline {
		f.add("keyMemory %s is shorter than the deadline %s of an entry that is not idempotent", e.KeyMemory, e.Deadline)
	}
}

func (f *faults) checkNumbers(e Entry) {
	f.checkNumber("limits.rate", e.Limits.Rate)
	f.checkNumber("limits.burst", float64(e.Limits.Burst))
	f.checkNumber("limits.concurrent", float64(e.Limits.Concurrent))
	f.checkNumber("weights.cost", e.Weights.Cost)
	f.checkNumber("weights.tail", e.Weights.Wait)
	f.checkNumber("weights.sentAway", e.Weights.SentAway)
	if e.Limits.Rate > 0 && e.Limits.Burst == 0 {
		f.add("limits.burst is 0 beside a rate, which admits nothing")
	}
	if e.MaxBodySize < 0 || e.MaxBodySize > MaxBodyLimit {
		f.add("maxBodySize %d is not between 0 and %d", e.MaxBodySize, MaxBodyLimit)
	}
}

func (f *faults) checkNumber(key string, x float64) {
	if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		f.add("%s %v is not a number from 0 up", key, x)
	}
}

func (f *faults) checkRegions(e Entry) {
	if e.Bound && len(e.Regions) > 0 {
		f.add("a bound entry has regions outside its home: %s", strings.Join(e.Regions, ", "))
	}
	if len(e.Regions) > MaxRegions {
		f.add("more than %d regions", MaxRegions)
		return
	}
	for i, region := range e.Regions {
		if region == AnyRegion {
			if len(e.Regions) > 1 {
				f.add("regions name %q beside others", AnyRegion)
			}
			continue
		}
		f.checkName("region", region)
		if slices.Contains(e.Regions[:i], region) {
			f.add("region %q is named twice", region)
		}
	}
}
