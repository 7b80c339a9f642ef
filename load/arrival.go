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

// arrival is one request of a caller, with its repeats.
type arrival struct {
	load   *Load
	due    time.Time
	number uint64
	steer  *steerer
	class  Class
	choice choice
	cost   time.Duration
	size   int
	key    string
}

// Verdict is what a caller knows about a request at the end.
type Verdict string

// The verdicts.
const (
	Ran     Verdict = "ran"
	NotRun  Verdict = "not-run"
	Unknown Verdict = "unknown"
	// Lost means that no whole answer came, and the caller could tell.
	Lost Verdict = "lost"
	// Broken means that an answer was wrong: another request's, or cut without
	// a sign, or without an outcome.
	Broken Verdict = "broken"
)

// Verdicts lists the verdicts in the order of the report.
var Verdicts = []Verdict{Ran, NotRun, Unknown, Lost, Broken}

const (
	repeatPause = 50 * time.Millisecond
	bodySize    = 200
	longBody    = 100 << 10
)

func (a *arrival) run(ctx context.Context) {
	verdict := Lost
	for tries := 0; tries <= a.load.cfg.Repeats; tries++ {
		verdict = a.try(ctx, tries)
		if verdict == Ran || verdict == Broken || a.class == Unsafe && verdict == NotRun {
			break
		}
		time.Sleep(repeatPause << tries)
	}
	a.load.report.add(a.class, verdict, a.work(), time.Since(a.due))
}

// work names the piece of work. Repeats with a key are the same piece.
func (a *arrival) work() string { return fmt.Sprintf("%s-%d", a.class, a.number) }

// try sends the request once.
func (a *arrival) try(ctx context.Context, try int) Verdict {
	ctx, cancel := context.WithTimeout(ctx, a.choice.request.AnswerWithin+time.Second)
	defer cancel()
	addresses, err := a.steer.addresses(ctx, a.choice.service)
	if err != nil {
		return Lost
	}
	if a.class == Unsafe && a.key == "" {
		a.key = fmt.Sprintf("%s%d-%d", addresses.KeyPrefix, a.load.cfg.Seed, a.number)
	}
	address := addresses.Addresses[try%len(addresses.Addresses)].Address
	body := a.body()
	resp, err := a.send(ctx, address, body)
	if err != nil {
		a.steer.forget(a.choice.service)
		return Lost
	}
	defer resp.Body.Close()
	if reason := resp.Header.Get(message.ReasonField); reason != "" {
		a.load.report.addReason(reason)
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return Lost
	}
	return a.judge(resp, answer, body)
}

func (a *arrival) body() []byte {
	switch {
	case a.choice.request.Method == http.MethodGet:
		return nil
	case a.class == Long:
		return bytes.Repeat([]byte("scan"), longBody/4)
	default:
		return bytes.Repeat([]byte(strconv.FormatUint(a.number%10, 10)), bodySize)
	}
}

func (a *arrival) send(ctx context.Context, address id.Address, body []byte) (*http.Response, error) {
	uri := "http://" + string(address) + a.choice.request.Path + "/" + strconv.FormatUint(a.number, 10)
	req, err := http.NewRequestWithContext(ctx, a.choice.request.Method, uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set(standin.WorkField, a.work())
	req.Header.Set(standin.CostField, strconv.FormatInt(a.cost.Microseconds(), 10))
	req.Header.Set(standin.SizeField, strconv.Itoa(a.size))
	req.Header.Set(caller.CallerField, fmt.Sprintf("account-%d", a.number%accounts))
	if a.key != "" {
		req.Header.Set(caller.KeyField, a.key)
	}
	return a.load.client.Do(req)
}

// judge compares an answer with what the target must have sent.
func (a *arrival) judge(resp *http.Response, answer, body []byte) Verdict {
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
		return Ran
	case resp.StatusCode >= http.StatusInternalServerError && strings.TrimSpace(string(answer)) == "wrong":
		return Unknown
	case !bytes.Equal(answer, standin.Echo(a.work(), body, a.size)):
		return Broken
	default:
		return Ran
	}
}
