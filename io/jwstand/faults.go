package jwstand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

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

// answerJSON writes a value as the whole answer.
func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // a caller that has gone needs no answer
}

// acceptJSON reads the body into value and answers 400 when it can't.
func acceptJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return false
	}
	return decodeJSON(w, body, value)
}

func decodeJSON(w http.ResponseWriter, body []byte, value any) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
