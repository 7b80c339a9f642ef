// Package kernel holds the services of one process. A service registers under
// a name, finds the others by theirs, is started in the order of registration
// and stopped in the reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Name is the name under which a service is found.
type Name string

// Service is a part of a process.
type Service interface {
	// Start finds the services that this one needs and begins its work. It
	// returns once the service can be called.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the work that Start began and returns when it has ended. The
	// context bounds the wait.
	Stop(ctx context.Context) error
	// State returns the service's state for the dump. It must be safe to call
	// at any time between Start and Stop, and encodable as JSON.
	State() any
}

// Kernel is a registry of services.
type Kernel struct {
	mu sync.Mutex
	// order lists the names in the order of registration, each once.
	order []Name
	// services has an entry for each name in order. It does not change after
	// Start.
	services map[Name]Service
	// started is the number of services at the head of order that run.
	started int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[Name]Service)}
}

// Register adds a service. A name registered twice is a programming error and
// panics.
func (k *Kernel) Register(name Name, s Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[name]; taken {
		panic(fmt.Sprintf("kernel: service %q registered twice", name))
	}
	k.order = append(k.order, name)
	k.services[name] = s
}

// Find returns the service of the given name as the interface that its user
// declares.
func Find[T any](k *Kernel, name Name) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	s, ok := k.services[name]
	if !ok {
		return none, fmt.Errorf("kernel: no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("kernel: service %q is a %T, which lacks what its user needs", name, s)
	}
	return t, nil
}

// Start starts the services in order. When one fails, those already started
// are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.names() {
		if err := k.services[name].Start(ctx, k); err != nil {
			return errors.Join(fmt.Errorf("start %s: %w", name, err), k.Stop(ctx))
		}
		k.setStarted(k.running() + 1)
	}
	return nil
}

// Stop stops the started services in reverse order and returns all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	names := k.names()
	for n := k.running(); n > 0; n-- {
		name := names[n-1]
		k.setStarted(n - 1)
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

// Dump returns the state of each service that runs, in the order of
// registration. Services without a state of their own are left out.
func (k *Kernel) Dump() []ServiceState {
	var states []ServiceState
	for _, name := range k.names()[:k.running()] {
		if state := k.services[name].State(); state != nil {
			states = append(states, ServiceState{Name: name, State: state})
		}
	}
	return states
}

func (k *Kernel) running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.started
}

func (k *Kernel) setStarted(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started = n
}

func (k *Kernel) names() []Name {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Name(nil), k.order...)
}
