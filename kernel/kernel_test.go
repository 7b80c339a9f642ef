package kernel

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// recorder is a service that logs the calls of Start and Stop.
type recorder struct {
	name     Name
	out      *strings.Builder
	startErr error
}

func (r *recorder) Start(context.Context, *Kernel) error {
	fmt.Fprintln(r.out, "start", r.name)
	return r.startErr
}

func (r *recorder) Stop(context.Context) error {
	fmt.Fprintln(r.out, "stop", r.name)
	return nil
}

func (r *recorder) State() any { return "state of " + string(r.name) }

// TestOrder checks the order of starts and stops, and that Stop stops the services
// already started when a later one has failed to start.
func TestOrder(t *testing.T) {
	var out strings.Builder
	for _, startErr := range []error{nil, errors.New("no address")} {
		k := New()
		for _, name := range []Name{"first", "second"} {
			k.Register(name, &recorder{name: name, out: &out})
		}
		k.Register("third", &recorder{name: "third", out: &out, startErr: startErr})
		fmt.Fprintln(&out, "error:", k.Start(t.Context()))
		fmt.Fprintln(&out, "dump:", k.Dump())
		require.NoError(t, k.Stop(t.Context()))
	}
	goldie.New(t).Assert(t, "order", []byte(out.String()))
}

// TestFind checks that Find rejects unknown names and services that lack a method
// of the requested interface, and that a name cannot be registered twice.
func TestFind(t *testing.T) {
	k := New()
	k.Register("recorder", &recorder{name: "recorder"})
	found, err := Find[interface{ State() any }](k, "recorder")
	require.NoError(t, err)
	require.Equal(t, "state of recorder", found.State())
	_, err = Find[interface{ Missing() }](k, "recorder")
	require.ErrorContains(t, err, "does not implement the requested interface interface { Missing() }")
	_, err = Find[Service](k, "other")
	require.ErrorContains(t, err, `service "other" is not registered`)
	require.Panics(t, func() { k.Register("recorder", &recorder{}) })
}
