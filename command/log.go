package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logLines is how many lines wait for a slow reader of the log; more are
	// dropped and counted.
	logLines = 4096
)

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
