package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

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
