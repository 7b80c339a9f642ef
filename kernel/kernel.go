// Package kernel is the registry of the services of one process. Services are
// registered and found by name, started in the order of registration and stopped
// in reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
)

// Name identifies a service within the process.
type Name string

// Service is a component of the process with a life cycle.
type Service interface {
	// Start finds the services that this one depends on and starts its work. It
	// returns once the service can be called.
	Start(ctx context.Context, k *Kernel) error
	// Stop stops the work that Start began and waits for it to end, at most until
	// the context ends.
	Stop(ctx context.Context) error
	// State returns the service's state for the dump, encodable as JSON, or nil if
	// the dump leaves the service out. It must be safe for concurrent use between
	// Start and Stop.
	State() any
}

// Kernel holds the services of a process and starts and stops them.
type Kernel struct {
	mu sync.Mutex
	// order lists the names in the order of registration.
	order []Name
	// services has an entry for each name in order. Register must not be called
	// after Start, because the map is then read without mu.
	services map[Name]Service
	// started is the number of running services: those in order[:started] are started
	// and not yet stopped.
	started int
}

func New() *Kernel {
	return &Kernel{services: make(map[Name]Service)}
}

// Register adds a service. It panics if the name is already registered.
func (k *Kernel) Register(name Name, s Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[name]; exists {
		panic(fmt.Sprintf("kernel: service %q is already registered", name))
	}
	k.order = append(k.order, name)
	k.services[name] = s
}

// Find returns the service of the given name as a T, the interface that the
// calling service declares for it.
func Find[T any](k *Kernel, name Name) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("kernel: service %q is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("kernel: service %q is a %T, which does not implement the requested interface %s", name, s, reflect.TypeFor[T]())
	}
	return t, nil
}

// Start starts the services in the order of registration. If one fails to start, or if
// the context ends, the remaining ones are not started; those already started run until
// Stop.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.names() {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		if err := k.services[name].Start(ctx, k); err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		k.setStartedCount(k.startedCount() + 1)
	}
	return nil
}

// Stop stops the started services in reverse order. It continues after a failure
// and returns all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	names := k.names()
	for n := k.startedCount(); n > 0; n-- {
		name := names[n-1]
		k.setStartedCount(n - 1)
		if err := k.services[name].Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", name, err))
		}
	}
	return errors.Join(errs...)
}

// ServiceState is one service's part of a dump.
type ServiceState struct {
	Name  Name
	State any
}

// Dump returns the state of each started service in the order of registration.
// Services whose state is nil are left out.
func (k *Kernel) Dump() []ServiceState {
	var states []ServiceState
	for _, name := range k.names()[:k.startedCount()] {
		if state := k.services[name].State(); state != nil {
			states = append(states, ServiceState{Name: name, State: state})
		}
	}
	return states
}

func (k *Kernel) startedCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.started
}

func (k *Kernel) setStartedCount(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started = n
}

func (k *Kernel) names() []Name {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Name(nil), k.order...)
}
