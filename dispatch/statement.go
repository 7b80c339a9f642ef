package dispatch

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/statement"
	"github.com/briarrouter/briarrouter/unit"
)

// parseStatement reads what a response says of its target. It returns what it could
// read, with an error for fields that it could not.
func parseStatement(reply *exchange.Reply, contract configuration.Contract) (statement.Statement, error) {
	var s statement.Statement
	var backoffErr, limitErr error
	s.Leaving = contract.DrainHeader != "" && reply.Header.Get(contract.DrainHeader) != ""
	if contract.BackoffStatus != 0 && reply.Status == contract.BackoffStatus {
		var seconds float64
		seconds, _, backoffErr = parseNumber(reply.Header, "Retry-After")
		// The comparison keeps the conversion from overflowing.
		s.Backoff = time.Duration(min(seconds, maxBackoffSeconds) * float64(time.Second))
	}
	if contract.LimitHeader != "" {
		var limit float64
		limit, s.Limited, limitErr = parseNumber(reply.Header, contract.LimitHeader)
		s.Limit = unit.PerSecond(limit)
	}
	return s, errors.Join(backoffErr, limitErr)
}

// maxBackoffSeconds is longer than any backoff that is applied.
const maxBackoffSeconds = 1e6

// parseNumber reads a field that holds a decimal number. It returns false if the field
// is missing or cannot be read.
func parseNumber(h http.Header, field string) (float64, bool, error) {
	text := strings.TrimSpace(h.Get(field))
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return 0, false, fmt.Errorf("%s %.40q; accepted: a non-negative decimal number", field, text)
	}
	return n, true, nil
}

// recordStatement records what the response to a request that was sent at a time says
// of its target.
func (s *serviceDispatcher) recordStatement(sentAt time.Time, e schedule.Endpoint, said statement.Statement, err error) {
	log := s.log.With().Str("Target", string(e.ID)).Str("Address", string(e.Address)).Logger()
	if err != nil {
		log.Warn().AnErr("Cause", err).Msg("statement of a target cannot be read")
	}
	changed := s.dispatcher.statements.Record(time.Now(), sentAt, e.Process(), said)
	if changed.Leaving {
		log.Info().Msg("target is leaving")
		s.dispatcher.requestStandbyNotice(s.name)
	}
	if changed.Backoff {
		log.Info().Dur("For", said.Backoff).Msg("target wants no requests")
	}
	if changed.Limit {
		log.Info().Bool("Limited", said.Limited).Float64("PerSecond", float64(said.Limit)).Msg("limit of a target changes")
	}
}
