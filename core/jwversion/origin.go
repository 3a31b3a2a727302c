package jwversion

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockError is how far the clocks of a target and a node may be apart, together with the time
// between a target's start and its first answer.
const clockError = time.Second

// Origin is the target that began a stream, as it was registered when the first event came.
type Origin struct {
	Version   string // of the target's software
	Target    string
	StartedAt int64     // start of the target's incarnation in Unix milliseconds
	BegunAt   time.Time // when the first event came
}

// Resolve returns the version that began the stream. version and startedAt are those of the
// registration that the target has now; registered is false if it has none. Another incarnation under
// its name may have sent the first event before its registration was known. Resolve returns false if
// the times don't show which one it was.
func (o Origin) Resolve(version string, startedAt int64, registered bool) (string, bool) {
	if !registered || startedAt == o.StartedAt || version == o.Version {
		return o.Version, true
	}
	switch startedAfter := time.UnixMilli(startedAt).Sub(o.BegunAt); {
	case startedAfter > clockError:
		return o.Version, true
	case startedAfter < -clockError:
		return version, true
	}
	return "", false
}

// emptyField stands for a field without text: as the first one of a header's value it would be lost with the space
// after it.
const emptyField = `""`

// String encodes the origin but for the time, which is that of the node that keeps it.
func (o Origin) String() string {
	return strings.Join([]string{escapeField(o.Version), escapeField(o.Target), strconv.FormatInt(o.StartedAt, 10)}, " ")
}

func escapeField(s string) string {
	if s == "" {
		return emptyField
	}
	return url.QueryEscape(s)
}

func unescapeField(s string) (string, error) {
	if s == emptyField {
		return "", nil
	}
	return url.QueryUnescape(s)
}

// ParseOrigin decodes the result of Origin.String. It returns an error for any other text.
func ParseOrigin(s string) (o Origin, err error) {
	f := strings.Split(s, " ")
	const fields = 3
	if len(f) != fields {
		return o, errors.Errorf("parse origin %q: %d fields", s, len(f))
	}
	if o.Version, err = unescapeField(f[0]); err != nil {
		return Origin{}, errors.Wrapf(err, "parse origin %q", s)
	}
	if o.Target, err = unescapeField(f[1]); err != nil {
		return Origin{}, errors.Wrapf(err, "parse origin %q", s)
	}
	if o.StartedAt, err = strconv.ParseInt(f[2], 10, 64); err != nil {
		return Origin{}, errors.Wrapf(err, "parse origin %q", s)
	}
	return o, nil
}
