package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/standin"
)

// arrival is one request of a caller, including its retries.
type arrival struct {
	generator *Generator
	// due is when the request was scheduled to start. Its latency counts from
	// here, so that delays of the generator itself are included.
	due      time.Time
	number   uint64
	resolver *addressResolver
	class    Class
	kind     requestKind
	// serviceTime is the time that the target is asked to spend on the request.
	serviceTime time.Duration
	// responseSize is the size in bytes of the response body that the target is
	// asked for.
	responseSize int
	// key is the idempotency key of a non-idempotent request. The first attempt
	// that gets the daemons' addresses sets it, and retries carry the same one.
	key string
}

// Verdict is what a caller knows about a request after an attempt. The verdict of
// the last attempt is that of the request.
type Verdict string

const (
	// Ran, NotRun and Unknown are the outcomes that a response can state.
	Ran     Verdict = "ran"
	NotRun  Verdict = "not-run"
	Unknown Verdict = "unknown"
	// Lost means that no complete response arrived and that the caller saw an
	// error.
	Lost Verdict = "lost"
	// Broken means that a response was accepted but incorrect: it belonged to
	// another request, was truncated without an error, or had no outcome.
	Broken Verdict = "broken"
)

// Verdicts lists the verdicts in the order of the report's columns.
var Verdicts = []Verdict{Ran, NotRun, Unknown, Lost, Broken}

const (
	// retryBackoff is the pause after the first attempt; it doubles with each
	// further one.
	retryBackoff = 50 * time.Millisecond
	// bodySize and longBodySize are the sizes of request bodies in bytes.
	bodySize     = 200
	longBodySize = 100 << 10
	// timeoutMargin is how much longer than the timeout of the request an attempt
	// may take.
	timeoutMargin = time.Second
)

// run sends the request until its verdict is final or no retry is left, and
// reports the last verdict. Ran and Broken are final; for a non-idempotent
// request, so is NotRun.
func (a *arrival) run(ctx context.Context) {
	verdict := Lost
	for attempt := 0; attempt <= a.generator.cfg.MaxRetries; attempt++ {
		verdict = a.makeAttempt(ctx, attempt)
		if verdict == Ran || verdict == Broken || a.class == NonIdempotent && verdict == NotRun {
			break
		}
		time.Sleep(retryBackoff << attempt)
	}
	a.generator.report.recordVerdict(a.class, verdict, a.workID(), time.Since(a.due))
}

// workID identifies the unit of work in the targets' records. All attempts of a
// request carry the same one.
func (a *arrival) workID() string { return fmt.Sprintf("%s-%d", a.class, a.number) }

// makeAttempt sends the request once. Attempts go to the listed daemons in turn.
func (a *arrival) makeAttempt(ctx context.Context, number int) Verdict {
	ctx, cancel := context.WithTimeout(ctx, a.kind.request.AnswerWithin+timeoutMargin)
	defer cancel()
	addresses, err := a.resolver.addresses(ctx, a.kind.service)
	if err != nil {
		return Lost
	}
	if a.class == NonIdempotent && a.key == "" {
		a.key = fmt.Sprintf("%s%d-%d", addresses.KeyPrefix, a.generator.cfg.Seed, a.number)
	}
	address := addresses.Addresses[number%len(addresses.Addresses)].Address
	body := a.body()
	resp, err := a.send(ctx, address, body)
	if err != nil {
		a.resolver.invalidate(a.kind.service)
		return Lost
	}
	defer resp.Body.Close()
	if reason := resp.Header.Get(message.ReasonField); reason != "" {
		a.generator.report.recordReason(reason)
	}
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return Lost
	}
	return a.classify(resp, responseBody, body)
}

func (a *arrival) body() []byte {
	switch {
	case a.kind.request.Method == http.MethodGet:
		return nil
	case a.class == Long:
		return bytes.Repeat([]byte("scan"), longBodySize/4)
	default:
		return bytes.Repeat([]byte(strconv.FormatUint(a.number%10, 10)), bodySize)
	}
}

func (a *arrival) send(ctx context.Context, address id.Address, body []byte) (*http.Response, error) {
	uri := "http://" + string(address) + a.kind.request.Path + "/" + strconv.FormatUint(a.number, 10)
	req, err := http.NewRequestWithContext(ctx, a.kind.request.Method, uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Keeps net/http from resending the body on its own.
	req.GetBody = nil
	req.Header.Set(standin.WorkIDField, a.workID())
	req.Header.Set(standin.ServiceTimeField, strconv.FormatInt(a.serviceTime.Microseconds(), 10))
	req.Header.Set(standin.ResponseSizeField, strconv.Itoa(a.responseSize))
	req.Header.Set(caller.CallerField, fmt.Sprintf("account-%d", a.number%accounts))
	if a.key != "" {
		req.Header.Set(caller.KeyField, a.key)
	}
	return a.generator.client.Do(req)
}

// classify returns the verdict of a response. If a target's response states that
// the request ran, the body is compared with the one that targets send for this
// request.
func (a *arrival) classify(resp *http.Response, responseBody, requestBody []byte) Verdict {
	switch outcome.Outcome(resp.Header.Get(message.OutcomeField)) {
	case outcome.NotRun:
		return NotRun
	case outcome.Unknown:
		return Unknown
	case outcome.Ran:
	default:
		return Broken
	}
	switch {
	case resp.Header.Get(message.ReasonField) != "":
		// A daemon produced this response, so its body is not the target's.
		return Ran
	// A stand-in with the fault Wrong sends this body.
	case resp.StatusCode >= http.StatusInternalServerError && strings.TrimSpace(string(responseBody)) == "wrong":
		return Unknown
	case !bytes.Equal(responseBody, standin.ResponseBody(a.workID(), requestBody, a.responseSize)):
		return Broken
	default:
		return Ran
	}
}
