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
	// logBufferLines bounds the lines that are buffered while the reader of the
	// log is slow. Further lines are dropped and counted.
	logBufferLines = 4096
	// requestLinesPerSecond limits the log lines about requests, with a burst of
	// requestLinesBurst. A request causes two or three lines, and a daemon serves
	// at most a few hundred requests per second. Lines about the state of targets,
	// configurations and peers are few and not limited.
	requestLinesPerSecond = 600
	requestLinesBurst     = 1200
)

// requestSampler limits the rate of log lines about requests and counts the
// dropped ones.
type requestSampler struct {
	limiter *rate.Limiter
	dropped tally.Counter
}

func newRequestSampler(scope tally.Scope) *requestSampler {
	return &requestSampler{limiter: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst), dropped: scope.Counter("request_log_lines_dropped")}
}

// Sample reports whether a line is written. Warnings and errors are always
// written.
func (s *requestSampler) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel || s.limiter.Allow() {
		return true
	}
	s.dropped.Inc(1)
	return false
}

// logState is the state of the log in the dump.
type logState struct {
	// Dropped counts the lines that were dropped because the reader of the log
	// was too slow. It does not count the lines that requestSampler dropped.
	Dropped int64
}

// logService shows the number of dropped log lines in the dump.
type logService struct{ dropped func() int64 }

const logServiceName kernel.Name = "log"

// Start does nothing: the log is written from the start of the process,
// whether or not the kernel runs.
func (logService) Start(context.Context, *kernel.Kernel) error { return nil }

func (logService) Stop(context.Context) error { return nil }

func (l logService) State() any { return logState{Dropped: l.dropped()} }

// logWriter writes log lines in a separate goroutine, so that no request waits
// for a slow reader of the log. Lines that do not fit into the buffer are
// dropped and counted.
type logWriter struct {
	diode.Writer
	droppedLines *atomic.Int64
}

func newLogWriter(out io.Writer) logWriter {
	w := logWriter{droppedLines: &atomic.Int64{}}
	// With a poll interval of 0 the goroutine blocks until there is a line
	// instead of polling.
	w.Writer = diode.NewWriter(out, logBufferLines, 0, func(missed int) { w.droppedLines.Add(int64(missed)) })
	return w
}

func (w logWriter) dropped() int64 { return w.droppedLines.Load() }

// newLogger returns a logger that writes each event as a line of key=value
// pairs.
func newLogger(out io.Writer) zerolog.Logger {
	zerolog.DurationFieldUnit = time.Millisecond
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: partFormatter("Time"),
		FormatLevel:     partFormatter("Level"),
		FormatMessage:   partFormatter("Event"),
	}
	return zerolog.New(writer).With().Timestamp().Logger()
}

// partFormatter formats one of the parts that every line has: time, level and
// event.
func partFormatter(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + quoteIfNeeded(fmt.Sprint(v)) }
}

func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, " \"=\n") {
		return strconv.Quote(s)
	}
	return s
}
