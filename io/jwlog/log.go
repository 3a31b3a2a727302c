package jwlog

import (
	"fmt"
	"io"
	"strings"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/grpc/grpclog"
)

// encoding holds the keys and formats of all lines.
var encoding = zapcore.EncoderConfig{
	TimeKey:        "time",
	LevelKey:       "level",
	NameKey:        "logger",
	MessageKey:     "message",
	EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
	EncodeLevel:    zapcore.LowercaseLevelEncoder,
	EncodeDuration: zapcore.StringDurationEncoder,
}

// New returns a log that writes JSON lines to w. Verbosity 0 gives changes of
// state and errors, 1 adds the lines of libraries, 2 adds single requests.
func New(w io.Writer, verbosity int) logr.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), zapcore.Level(-verbosity))
	log := zapr.NewLogger(zap.New(core))
	return log.WithSink(plainErrors{log.GetSink()})
}

// plainErrors logs errors as one line of text. zap adds the stack traces of an
// error of pkg/errors, which make the line unreadable.
type plainErrors struct{ logr.LogSink }

// Error implements logr.LogSink.
func (p plainErrors) Error(err error, message string, pairs ...any) {
	if err != nil {
		err = plainError(err.Error())
	}
	p.LogSink.Error(err, message, pairs...)
}

// WithValues implements logr.LogSink.
func (p plainErrors) WithValues(pairs ...any) logr.LogSink {
	return plainErrors{p.LogSink.WithValues(pairs...)}
}

// WithName implements logr.LogSink.
func (p plainErrors) WithName(name string) logr.LogSink {
	return plainErrors{p.LogSink.WithName(name)}
}

// plainError is the text of an error.
type plainError string

func (e plainError) Error() string { return string(e) }

// CaptureGRPC sends what grpc-go logs to log at verbosity 1. Call it once, before
// the first connection. By default, grpc-go writes plain text among the JSON
// lines, which breaks parsers.
func CaptureGRPC(log logr.Logger) {
	grpclog.SetLoggerV2(grpcLog{log.WithName("grpc").V(1)})
}

// grpcLog is grpclog.LoggerV2 over logr.
type grpcLog struct{ log logr.Logger }

func (g grpcLog) line(text string) { g.log.Info(strings.TrimSpace(text)) }

func (g grpcLog) Info(args ...any)                    { g.line(fmt.Sprint(args...)) }
func (g grpcLog) Infoln(args ...any)                  { g.line(fmt.Sprintln(args...)) }
func (g grpcLog) Infof(format string, args ...any)    { g.line(fmt.Sprintf(format, args...)) }
func (g grpcLog) Warning(args ...any)                 { g.line(fmt.Sprint(args...)) }
func (g grpcLog) Warningln(args ...any)               { g.line(fmt.Sprintln(args...)) }
func (g grpcLog) Warningf(format string, args ...any) { g.line(fmt.Sprintf(format, args...)) }
func (g grpcLog) Error(args ...any)                   { g.line(fmt.Sprint(args...)) }
func (g grpcLog) Errorln(args ...any)                 { g.line(fmt.Sprintln(args...)) }
func (g grpcLog) Errorf(format string, args ...any)   { g.line(fmt.Sprintf(format, args...)) }
func (g grpcLog) Fatal(args ...any)                   { panic(fmt.Sprint(args...)) }
func (g grpcLog) Fatalln(args ...any)                 { panic(fmt.Sprintln(args...)) }
func (g grpcLog) Fatalf(format string, args ...any)   { panic(fmt.Sprintf(format, args...)) }

// V returns false: no verbose lines of grpc-go are wanted, since building them
// costs time even where they are dropped.
func (g grpcLog) V(int) bool { return false }
