package caller

import (
	"time"

	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
)

// states returns what the open connections are doing.
func (s *Server) states() states {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list states
	for c := range s.connections {
		list[c.progress.current()]++
	}
	return list
}

// logStop logs a step of the stop with the states of the connections.
func (s *Server) logStop(event *zerolog.Event, step string) {
	took, _ := s.stopRecord.took()
	event.Dur("Took", took).EmbedObject(s.states()).Msg(step)
}

// logResponse logs the result of a request. If a stop has put it in the place of a
// target's response, the line is a warning, which is always written.
func (x *transaction) logResponse(req *work.Request, response work.Response, took time.Duration) {
	c := x.connection
	level, cutOff := zerolog.InfoLevel, c.isCutOff() && response.Reason != work.NoReason
	if cutOff && response.Outcome != outcome.NotRun {
		level = zerolog.WarnLevel
	}
	event := c.server.cfg.Log.WithLevel(level).
		Str("Request", work.Clip(string(req.ID))).
		Str("CallerHost", work.Clip(req.Host)).
		Str("Path", work.Clip(req.Path))
	if req.AccountKey != "" && req.Caller != "" {
		event.Str("Account", string(req.Caller))
	}
	event.
		Int("Status", response.Status).
		Str("Outcome", string(response.Outcome)).
		Str("Reason", string(response.Reason)).
		Dur("RetryAfter", response.RetryAfter).
		Dur("Took", took).
		Bool("CallerGone", c.callerGone()).
		Bool("CutOff", cutOff).
		Msg("request answered")
}

// recordAnswer counts and logs whether a response was written. One that says only that
// the caller has disconnected is no answer, even if it was written.
func (x *transaction) recordAnswer(response work.Response, err error) {
	c, s := x.connection, x.connection.server
	if err == nil && response.Reason != work.CallerGone {
		s.stopRecord.addAnswer(answer{response.Outcome, response.Reason})
		return
	}
	if !x.read {
		s.cfg.Log.Info().Str("Request", work.Clip(string(x.id))).Int("Status", response.Status).Bool("CallerGone", c.callerGone()).
			AnErr("Cause", err).Msg("answer was not written whole")
		return
	}
	s.stopRecord.addUnanswered()
	event := s.cfg.Log.Warn().
		Str("Request", work.Clip(string(x.id))).
		Int("Status", response.Status).
		Str("Outcome", string(response.Outcome)).
		Str("Reason", string(response.Reason))
	if end := c.progress.end.Load(); end != nil {
		event.Stringer("State", end.state).Str("Ending", string(end.ending))
	}
	event.Dur("InProgress", time.Since(x.arrivedAt)).
		Int64("AnswerBytes", int64(c.output.written)).
		AnErr("Cause", err).
		Msg("request ended without a complete answer")
}

// recordEnd counts the end of a connection that has been closed, and logs it during a
// stop. Only the connection's task calls it. A close that resets the connection during a
// stop is a warning, which is always written.
func (s *Server) recordEnd(c *connection) {
	c.progress.finish(endingOf(c.input.cause()))
	end, unread := c.progress.end.Load(), c.input.unreadCount()
	unread.dropped += unit.Bytes(c.unparsed())
	s.scope.Tagged(map[string]string{"ending": string(end.ending), "state": end.state.String()}).Counter("caller_connections").Inc(1)
	if unread.notReceived > 0 {
		s.scope.Counter("caller_connections_reset").Inc(1)
	}
	s.stopRecord.addEnd(end.ending, unread)
	took, stopping := s.stopRecord.took()
	if !stopping {
		return
	}
	level := zerolog.InfoLevel
	if unread.notReceived > 0 {
		level = zerolog.WarnLevel
	}
	s.cfg.Log.WithLevel(level).
		Str("LastRequest", string(c.lastRequest)).
		Stringer("State", end.state).
		Str("Ending", string(end.ending)).
		Dur("Took", took).
		EmbedObject(unread).
		Msg("connection ended in a stop")
}
