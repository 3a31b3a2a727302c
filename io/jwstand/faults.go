package jwstand

import "time"

// Faults are what a stand-in does wrong; the zero value is none.
type Faults struct {
	Down      bool     `json:"down"`      // refuses connections and has reset those that were open
	Slow      Duration `json:"slow"`      // delay before each call is looked at
	LoseReply int      `json:"loseReply"` // calls other than GET that are yet to be carried out without an answer
	Pause     bool     `json:"pause"`     // holds every byte in and out until lifted, as a stopped process does
	CrashOn   string   `json:"crashOn"`   // a body that holds this text ends the process
	Leave     bool     `json:"leave"`     // finishes what runs, refuses new work
	Silent    bool     `json:"silent"`    // setting it silences the connections open now, for good; later ones work
}

// Duration is a time.Duration that JSON writes as text, such as "250ms".
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
