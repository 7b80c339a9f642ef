package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/kernel"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// logLines is how many lines wait for a slow reader of the log; more are
	// dropped and counted.
	logLines = 4096
	// requestLines is how many lines a second are written about requests, and
	// requestBurst how many at once: a request takes two or three, and a daemon
	// has at most some hundred requests a second. The lines about beliefs,
	// configurations and peers are few and not bounded by this.
	requestLines = 600
	requestBurst = 1200
)

// requestSampler bounds the lines about requests and counts the others.
type requestSampler struct {
	limiter *rate.Limiter
	dropped tally.Counter
}

func newRequestSampler(scope tally.Scope) *requestSampler {
	return &requestSampler{limiter: rate.NewLimiter(requestLines, requestBurst), dropped: scope.Counter("request_log_lines_dropped")}
}

// Sample tells whether a line is written. Warnings and errors always are.
func (s *requestSampler) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel || s.limiter.Allow() {
		return true
	}
	s.dropped.Inc(1)
	return false
}

// logState is the log's part of a dump.
type logState struct {
	// Dropped counts the lines that the reader of the log was too slow for.
	Dropped int64
}

// logService shows in dumps what became of the log.
type logService struct{ dropped func() int64 }

// logName is the name of the logService in the kernel.
const logName kernel.Name = "log"

// Start does nothing: lines are written from the first on.
func (logService) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop does nothing.
func (logService) Stop(context.Context) error { return nil }

// State returns how many lines were dropped.
func (l logService) State() any { return logState{Dropped: l.dropped()} }

// logWriter writes log lines in a task of its own, so that no request waits for
// the reader of the log. What does not fit is dropped and counted.
type logWriter struct {
	diode.Writer
	lost *atomic.Int64
}

func newLogWriter(out io.Writer) logWriter {
	w := logWriter{lost: &atomic.Int64{}}
	// Without a poll interval the task waits for lines instead of looking for
	// them.
	w.Writer = diode.NewWriter(out, logLines, 0, func(missed int) { w.lost.Add(int64(missed)) })
	return w
}

// dropped returns how many lines were dropped.
func (w logWriter) dropped() int64 { return w.lost.Load() }

// newLogger returns a logger that writes one line of key=value pairs an event.
func newLogger(out io.Writer) zerolog.Logger {
	zerolog.DurationFieldUnit = time.Millisecond
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: part("Time"),
		FormatLevel:     part("Level"),
		FormatMessage:   part("Event"),
	}
	return zerolog.New(writer).With().Timestamp().Logger()
}

// part formats a part of a line that every event has.
func part(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + quoted(fmt.Sprint(v)) }
}

func quoted(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n") {
		return strconv.Quote(s)
	}
	return s
}
