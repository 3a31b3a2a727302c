package jwcommand

import (
	"net/http"

	"github.com/pkg/errors"

	"jujubewheel/io/jwoperate"
)

// Exit is the exit code of a command.
type Exit int

// The exit codes.
const (
	OK       Exit = 0
	Failed   Exit = 1 // it had no effect, or could not be done
	Usage    Exit = 2 // the command line is wrong
	Pending  Exit = 3 // written, but not yet in force everywhere
	Conflict Exit = 4 // the entry was changed after it was read
	Invalid  Exit = 5 // the settings or the entry have faults
	Unknown  Exit = 6 // it may or may not have been written; send it again with the same --edit-id
)

const exitHelp = `Exit codes: 0 done; 1 failed without effect; 2 wrong usage; 3 written but not yet in force ` +
	`everywhere; 4 the entry was changed after it was read; 5 faults in settings or an entry; ` +
	`6 may or may not have been written, send again with the same --edit-id.`

// exitError is an error with the exit code of the command. If err is errReported,
// nothing more is printed.
type exitError struct {
	code Exit
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// errReported stands for a failure that the output already shows.
var errReported = errors.New("already reported")

// exitCodeOf returns the exit code of a command's error.
func exitCodeOf(err error) Exit {
	var coded *exitError
	var respErr *responseError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &respErr):
		return respErr.exitCode()
	}
	return Failed
}

// responseError is an answer with a status other than 2xx.
type responseError struct {
	status int
	body   jwoperate.ErrorBody
}

func (e *responseError) Error() string {
	text := e.body.Error
	if text == "" {
		text = http.StatusText(e.status)
	}
	for _, fault := range e.body.Faults {
		text += "\n  " + fault
	}
	if w := e.body.Winner; w != nil {
		text += "\n  change " + formatUint(w.N) + " by " + w.Author + ": " + w.Reason
	}
	return text
}

func (e *responseError) exitCode() Exit {
	switch e.status {
	case http.StatusPreconditionFailed:
		return Conflict
	case http.StatusUnprocessableEntity:
		return Invalid
	case http.StatusGatewayTimeout:
		return Unknown
	}
	return Failed
}
