package jwstand

import "time"

// Faults are the faults that a stand-in simulates. The zero value simulates
// none.
type Faults struct {
	Down      bool     `json:"down"`      // connections are refused; setting it resets the open ones
	Slow      Duration `json:"slow"`      // delay before each call is handled
	LoseReply int      `json:"loseReply"` // number of further calls, other than GET, that are handled but get no answer
	Pause     bool     `json:"pause"`     // holds every byte in both directions until it is unset, as a stopped process does
	CrashOn   string   `json:"crashOn"`   // a request body that contains this text ends the process
	Leaving   bool     `json:"leave"`     // running calls finish, new ones are rejected
	Silent    bool     `json:"silent"`    // setting it silences the connections open now until they are closed; later ones work
}

// Duration is a time.Duration that is encoded in JSON as text, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
