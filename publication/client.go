// Package publication reads the configuration and the lists of hosts that the
// platform publishes. It never writes. The protocol is HTTP with conditional
// requests (RFC 9110) and the Prefer: wait preference (RFC 7240).
package publication

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Key identifies a value that the platform publishes.
type Key string

const (
	// IndexKey is the key of the configuration's index, which names its version
	// and its services.
	IndexKey Key = "configuration/index"
	// DaemonsKey is the key of the list of daemons.
	DaemonsKey Key = "hosts/daemons"
)

// ServiceKey returns the key of a service's configuration.
func ServiceKey(s id.Service) Key { return Key("configuration/service/" + string(s)) }

// TargetsKey returns the key of the list of a service's targets.
func TargetsKey(s id.Service) Key { return Key("hosts/targets/" + string(s)) }

// ValuesPath is the part of the URL path before the key.
const ValuesPath = "/v1/values/"

const (
	// MaxValueSize is the size of the largest value that the platform stores.
	MaxValueSize = unit.MiB
	// maxHeader bounds the header section of a response, which has a few short
	// fields.
	maxHeader = 64 * unit.KiB
	// waitSeconds is how long a long poll waits for a change.
	waitSeconds = 30
	// callTimeout is the timeout of a call. A long poll may take waitSeconds in
	// addition.
	callTimeout       = 5 * time.Second
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// ErrUnchanged is returned when a watched value did not change during a long
// poll.
var ErrUnchanged = errors.New("publication: value is unchanged")

// Value is one version of a value on the platform.
type Value struct {
	Data []byte
	ETag string
}

// Client reads values from the platform. After a failed call it switches to the
// next address.
type Client struct {
	log       zerolog.Logger
	addresses []id.Address
	http      *http.Client
	// failovers counts the switches to the next address. Modulo the number of
	// addresses, it is the index of the current one.
	failovers atomic.Uint64
	calls     atomic.Int64
	failures  atomic.Int64
}

// NewClient returns a client for the given addresses; there must be at least
// one.
func NewClient(addresses []id.Address, log zerolog.Logger) *Client {
	return newClient(addresses, log, http.DefaultTransport.(*http.Transport).Clone())
}

func newClient(addresses []id.Address, log zerolog.Logger, transport *http.Transport) *Client {
	limits := message.ResponseLimits{Header: maxHeader, Body: MaxValueSize}
	return &Client{log: log, addresses: addresses, http: &http.Client{
		Transport: message.LimitResponses(transport, limits),
		Timeout:   waitSeconds*time.Second + callTimeout,
	}}
}

// Get reads the current version of a value.
func (c *Client) Get(ctx context.Context, key Key) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, key, "")
}

// Await performs a long poll: it returns the value once its entity tag differs
// from etag, or ErrUnchanged if it did not change in time. An empty etag
// returns the current version.
func (c *Client) Await(ctx context.Context, key Key, etag string) (Value, error) {
	return c.call(ctx, key, etag)
}

func (c *Client) call(ctx context.Context, key Key, etag string) (Value, error) {
	c.calls.Add(1)
	v, err := c.do(ctx, key, etag)
	if err != nil && !errors.Is(err, ErrUnchanged) {
		c.failures.Add(1)
		c.failovers.Add(1)
	}
	return v, err
}

func (c *Client) do(ctx context.Context, key Key, etag string) (Value, error) {
	address := c.addresses[c.failovers.Load()%uint64(len(c.addresses))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+ValuesPath+string(key), nil)
	if err != nil {
		return Value{}, fmt.Errorf("publication: %w", err)
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
		req.Header.Set("Prefer", fmt.Sprintf("wait=%d", waitSeconds))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, fmt.Errorf("publication: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return readValue(resp)
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	default:
		return Value{}, fmt.Errorf("publication: get %s: unexpected status %d", req.URL, resp.StatusCode)
	}
}

func readValue(resp *http.Response) (Value, error) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Value{}, fmt.Errorf("publication: get %s: read the value: %w", resp.Request.URL, err)
	}
	return Value{Data: data, ETag: resp.Header.Get("ETag")}, nil
}

// Watch calls apply with the current version of a value and after each change
// until ctx ends. Versions that are replaced while apply runs or between two
// polls are skipped. A failed call is repeated after a delay. If apply fails, it
// is called again after a delay with the version that is current then. A value
// without an entity tag cannot be awaited; it is read every maxRetryDelay.
func (c *Client) Watch(ctx context.Context, group *conc.WaitGroup, key Key, apply func(context.Context, []byte) error) {
	w := &watch{client: c, key: key, apply: apply}
	group.Go(func() { w.run(ctx) })
}

// watch repeats long polls for one value.
type watch struct {
	client *Client
	key    Key
	apply  func(context.Context, []byte) error
	// failures counts consecutive failed calls.
	failures int
}

func (w *watch) run(ctx context.Context) {
	etag, delay := "", initialRetryDelay
	for ctx.Err() == nil {
		v, err := w.client.Await(ctx, w.key, etag)
		w.logResult(ctx, err)
		if err == nil {
			err = w.apply(ctx, v.Data)
		}
		switch {
		case errors.Is(err, ErrUnchanged):
		case err != nil:
			clock.Sleep(ctx, delay/2+rand.N(delay/2))
			delay = min(2*delay, maxRetryDelay)
			continue
		default:
			if etag = v.ETag; etag == "" {
				clock.Sleep(ctx, maxRetryDelay)
			}
		}
		delay = initialRetryDelay
	}
}

// logResult logs the first of several failed calls, and the call that ends them.
func (w *watch) logResult(ctx context.Context, err error) {
	log := w.client.log.With().Str("Key", string(w.key)).Int("Failures", w.failures).Logger()
	switch {
	case ctx.Err() != nil:
	case err == nil || errors.Is(err, ErrUnchanged):
		if w.failures > 0 {
			log.Info().Msg("platform answers again")
		}
		w.failures = 0
	default:
		if w.failures++; w.failures == 1 {
			log.Warn().AnErr("Cause", err).Msg("platform does not answer")
		}
	}
}

// ClientState is the client's part of a dump.
type ClientState struct {
	Addresses []id.Address
	Calls     int64
	Failures  int64
}

func (c *Client) State() ClientState {
	return ClientState{Addresses: c.addresses, Calls: c.calls.Load(), Failures: c.failures.Load()}
}
