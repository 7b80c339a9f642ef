// Package publication reads the configuration and the host lists that the
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
	"github.com/briarrouter/briarrouter/unit"
	"github.com/sourcegraph/conc"
)

// Key names a value of the platform.
type Key string

// The keys that daemons read.
const (
	IndexKey   Key = "configuration/index"
	DaemonsKey Key = "hosts/daemons"
)

// ServiceKey names the value of a service's configuration.
func ServiceKey(s id.Service) Key { return Key("configuration/service/" + string(s)) }

// TargetsKey names the list of a service's targets.
func TargetsKey(s id.Service) Key { return Key("hosts/targets/" + string(s)) }

// ValuesPath is the path before the key.
const ValuesPath = "/v1/values/"

const (
	// MaxValue is the largest value that the platform holds.
	MaxValue = unit.MiB
	// waitSeconds is how long a watch waits for a change.
	waitSeconds = 30
	// readTimeout bounds a call beyond the time that it asks to wait.
	readTimeout = 5 * time.Second
	firstDelay  = 200 * time.Millisecond
	maxDelay    = 5 * time.Second
)

// ErrUnchanged means that a watched value did not change while it was waited
// for.
var ErrUnchanged = errors.New("publication: value is unchanged")

// Value is one version of a value.
type Value struct {
	Data []byte
	// Tag is the entity tag of this version.
	Tag string
}

// Client reads from the platform.
type Client struct {
	addresses []id.Address
	http      *http.Client
	// next is the index of the address in use, modulo the number of addresses.
	next  atomic.Uint64
	calls atomic.Int64
	fails atomic.Int64
}

// NewClient returns a client for the given addresses, of which there is at
// least one.
func NewClient(addresses []id.Address) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: waitSeconds*time.Second + readTimeout}}
}

// Get reads a value.
func (c *Client) Get(ctx context.Context, key Key) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.call(ctx, key, "")
}

// Await waits until a value differs from the version of the given tag. After a
// time without a change it returns ErrUnchanged.
func (c *Client) Await(ctx context.Context, key Key, tag string) (Value, error) {
	return c.call(ctx, key, tag)
}

func (c *Client) call(ctx context.Context, key Key, tag string) (Value, error) {
	c.calls.Add(1)
	v, err := c.do(ctx, key, tag)
	if err != nil && !errors.Is(err, ErrUnchanged) {
		c.fails.Add(1)
		c.next.Add(1)
	}
	return v, err
}

func (c *Client) do(ctx context.Context, key Key, tag string) (Value, error) {
	address := c.addresses[c.next.Load()%uint64(len(c.addresses))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+ValuesPath+string(key), nil)
	if err != nil {
		return Value{}, fmt.Errorf("publication: %w", err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
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
		return Value{}, fmt.Errorf("publication: %s answered status %d", key, resp.StatusCode)
	}
}

func readValue(resp *http.Response) (Value, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(MaxValue)+1))
	if err != nil {
		return Value{}, fmt.Errorf("publication: %w", err)
	}
	if unit.Bytes(len(data)) > MaxValue {
		return Value{}, fmt.Errorf("publication: value is larger than %s", MaxValue)
	}
	return Value{Data: data, Tag: resp.Header.Get("ETag")}, nil
}

// Watch calls take for each version of a value until the context ends. A
// version that take returns an error for is asked for again.
func (c *Client) Watch(ctx context.Context, group *conc.WaitGroup, key Key, take func(context.Context, []byte) error) {
	w := &watch{client: c, key: key, take: take}
	group.Go(func() { w.run(ctx) })
}

// watch follows one value.
type watch struct {
	client *Client
	key    Key
	take   func(context.Context, []byte) error
}

func (w *watch) run(ctx context.Context) {
	tag, delay := "", firstDelay
	for ctx.Err() == nil {
		v, err := w.client.Await(ctx, w.key, tag)
		if err == nil {
			err = w.take(ctx, v.Data)
		}
		switch {
		case errors.Is(err, ErrUnchanged):
		case err != nil:
			clock.Sleep(ctx, delay/2+rand.N(delay/2))
			delay = min(2*delay, maxDelay)
			continue
		default:
			tag = v.Tag
		}
		delay = firstDelay
	}
}

// ClientState is the client's part of a dump.
type ClientState struct {
	Addresses []id.Address
	Calls     int64
	Failures  int64
}

// State returns the number of calls.
func (c *Client) State() ClientState {
	return ClientState{Addresses: c.addresses, Calls: c.calls.Load(), Failures: c.fails.Load()}
}
