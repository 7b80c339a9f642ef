// Package settings reads and validates the settings file of a daemon.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/briarrouter/briarrouter/crossing"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/inifile"
	"github.com/briarrouter/briarrouter/unit"
)

// Daemon holds the settings of one daemon.
type Daemon struct {
	// Host is the name under which the platform lists this host.
	Host          id.Host
	FailureDomain id.FailureDomain
	// Room is the CPU capacity of the daemon: cores times their relative speed.
	Room unit.Millicores
	// Callers, Peers and Operator are three different addresses, on which the
	// daemon listens for callers, peers and operators.
	Callers  id.Address
	Peers    id.Address
	Operator id.Address
	// Advertised holds the addresses that callers and peers connect to. They differ
	// from Callers and Peers if the network translates addresses or ports.
	Advertised Advertised
	// Platform lists the addresses of the servers that publish configurations in
	// the project's own format; at least one, unless Store is set.
	Platform []id.Address
	// Store is the key-value store of the platform on which the fleet is deployed.
	// If it is set, the daemon reads the configuration and the targets from it
	// instead of from Platform. Its Address is empty if Platform is set.
	Store Store
	// Directory is empty unless Store is set.
	Directory Directory
	// Seeds lists addresses of peers to contact first. Some may be down or have no
	// daemon at all.
	Seeds  []id.Address
	Limits Limits
	Timing Timing
	// Crossing is what crossing a failure domain costs. It is the zero Config if the
	// file has no section for it.
	Crossing crossing.Config
}

// Advertised holds the addresses under which others reach a daemon.
type Advertised struct {
	Callers, Peers id.Address
}

// Store says where the platform's key-value store is and which terms the platform
// states.
type Store struct {
	Address id.Address
	// Terms states the platform's limits and obligations in its own notation;
	// platform.ParseTerms parses it.
	Terms string
}

// Directory holds the addresses to listen on for callers' address lookups and for
// readiness checks.
type Directory struct {
	// Resolve is for lookups of the daemons that callers should connect to.
	Resolve id.Address
	// Ready is for checks whether this daemon accepts callers.
	Ready id.Address
}

// Limits bounds the resources that callers, targets and peers can make a daemon
// use.
type Limits struct {
	// Memory is the memory that the process may use; zero if it is not stated.
	Memory unit.Bytes
	// Descriptors is the number of file descriptors that the process may open; zero if
	// it is not stated.
	Descriptors int
	// Buffers bounds the total size of the bodies that are buffered, of the bytes that
	// were received from callers and not read yet, except a chunk for each connection,
	// and of header sections that are larger than ordinary ones. Beyond it, bodies are
	// streamed, connections receive one chunk at a time and requests with such header
	// sections are refused. If it is not set, it follows from Memory. The responses
	// recorded for idempotency keys may take up to half as much in addition.
	Buffers unit.Bytes
	// RequestHeader bounds the header section of a caller's request.
	RequestHeader unit.Bytes
	// RequestBody bounds the body of a caller's request.
	RequestBody unit.Bytes
	// BodyBuffer is the largest request body that is buffered so that it can be
	// sent again on a retry. Larger ones are streamed. At most Buffers.
	BodyBuffer unit.Bytes
	// AnswerBuffer is the largest response body that is read completely before its
	// first byte is sent to the caller. Larger ones are streamed. At most Buffers.
	AnswerBuffer unit.Bytes
	// CallerConnections bounds the open connections of callers. If it is not set, it
	// follows from Memory and Descriptors.
	CallerConnections int
	// Keys bounds the number of idempotency keys that are kept.
	Keys int
}

type Timing struct {
	// Hold is the time-to-live of a list of addresses: how long a caller may use
	// it. Responses to the lookups of Directory state a shorter one if Store.Terms
	// requires it. Unless Stop ends it earlier, a leaving daemon serves for at least
	// Hold after it has been removed from the lists.
	Hold time.Duration
	// LeaveMargin is how long it may take until all daemons that give addresses to
	// callers know that a daemon is leaving.
	LeaveMargin time.Duration
	// Stop bounds how long the daemon takes to stop; zero waits for every
	// request in progress.
	Stop time.Duration
	// Epoch is the duration of one epoch of idempotency keys. A key is kept until
	// the end of the epoch after its own.
	Epoch time.Duration
	// Probe is the interval between probes of peers.
	Probe time.Duration
	// Suspect is how long a suspect peer has to refute the suspicion before it
	// counts as dead; at least Probe.
	Suspect time.Duration
	// Join is how long a starting daemon waits for messages of peers, which tell
	// it whether its configuration is outdated. After that it becomes ready
	// without them.
	Join time.Duration
	// SlowCaller bounds each pause of a caller while it sends a body or reads a
	// response. It also bounds the time for the whole header section of a request
	// if the configuration sets no limit for that.
	SlowCaller time.Duration
}

// Read reads the settings file at path and parses it.
func Read(path string) (Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Daemon{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses the contents of a settings file. The name of the file is for error
// messages. The error joins all problems of the file.
func Parse(name string, data []byte) (Daemon, error) {
	f := inifile.Parse(name, data)
	d := Daemon{}
	d.readHostAndAddresses(f)
	d.Limits = readLimits(f)
	d.Timing = readTiming(f)
	d.Crossing = readCrossing(f)
	return d, f.Err()
}

func (d *Daemon) readHostAndAddresses(f *inifile.File) {
	host := f.Section("Host")
	d.Host = id.Host(host.Text("Name", "the name in the platform's host list"))
	d.FailureDomain = id.FailureDomain(host.Text("FailureDomain", "the name of a failure domain"))
	d.Room = unit.Millicores(millicoresPerCore * host.FloatOr("Cores", minCPUFactor, maxCPUFactor, 1) * host.FloatOr("Speed", minCPUFactor, maxCPUFactor, 1))
	listen := f.Section("Listen")
	d.Callers = listen.Address("Callers")
	d.Peers = listen.Address("Peers")
	d.Operator = listen.Address("Operator")
	requireDistinct(listen, "Peers", d.Peers, "Callers", d.Callers)
	requireDistinct(listen, "Operator", d.Operator, "Callers", d.Callers)
	requireDistinct(listen, "Operator", d.Operator, "Peers", d.Peers)
	advertise := f.Optional("Advertise")
	d.Advertised = Advertised{Callers: addressOr(advertise, "Callers", d.Callers), Peers: addressOr(advertise, "Peers", d.Peers)}
	if peers := f.Optional("Peers"); peers.Has("Seeds") && peers.TextOr("Seeds", "") != "" {
		d.Seeds = peers.Addresses("Seeds")
	}
	if !f.Optional("Store").Has("Address") {
		d.Platform = f.Section("Platform").Addresses("Addresses")
		return
	}
	store := f.Section("Store")
	d.Store = Store{Address: store.Address("Address"), Terms: store.TextOr("Terms", "")}
	directory := f.Section("Directory")
	d.Directory = Directory{Resolve: directory.Address("Resolve"), Ready: directory.Address("Ready")}
}

func addressOr(s *inifile.Section, key string, fallback id.Address) id.Address {
	if !s.Has(key) {
		return fallback
	}
	return s.Address(key)
}

const (
	millicoresPerCore = 1000
	// minCPUFactor and maxCPUFactor bound each of Cores and Speed.
	minCPUFactor = 0.001
	maxCPUFactor = 1024
)

func requireDistinct(s *inifile.Section, key string, address id.Address, otherKey string, otherAddress id.Address) {
	if address == otherAddress && address != "" {
		s.Problem(key, fmt.Sprintf("address %s is already used by %s", address, otherKey), "a different address")
	}
}

func readLimits(f *inifile.File) Limits {
	s := f.Optional("Limits")
	process, descriptors := s.BytesOr("Memory", 32*unit.MiB, unit.Bytes(1)<<50, 0), s.IntOr("Descriptors", 64, 1<<30, 0)
	l := Limits{
		Memory:            process,
		Descriptors:       descriptors,
		Buffers:           s.BytesOr("Buffers", unit.MiB, 4*unit.GiB, defaultBuffers(process)),
		RequestHeader:     s.BytesOr("RequestHeader", unit.KiB, unit.MiB, 16*unit.KiB),
		RequestBody:       s.BytesOr("RequestBody", unit.KiB, unit.GiB, 64*unit.MiB),
		BodyBuffer:        s.BytesOr("BodyBuffer", 0, 16*unit.MiB, 64*unit.KiB),
		AnswerBuffer:      s.BytesOr("AnswerBuffer", 0, 16*unit.MiB, 256*unit.KiB),
		CallerConnections: s.IntOr("CallerConnections", 16, 1_000_000, defaultCallerConnections(process, descriptors)),
		Keys:              s.IntOr("Keys", 100, 10_000_000, 100_000),
	}
	if l.BodyBuffer > l.Buffers {
		s.Problem("BodyBuffer", "larger than Buffers", "at most "+l.Buffers.String())
	}
	if l.AnswerBuffer > l.Buffers {
		s.Problem("AnswerBuffer", "larger than Buffers", "at most "+l.Buffers.String())
	}
	return l
}

func readTiming(f *inifile.File) Timing {
	s := f.Optional("Timing")
	t := Timing{
		Hold:        s.DurationOr("Hold", time.Second, 10*time.Minute, 5*time.Second),
		LeaveMargin: s.DurationOr("LeaveMargin", 0, time.Minute, 2*time.Second),
		Stop:        s.DurationOr("Stop", 0, time.Hour, 0),
		Epoch:       s.DurationOr("Epoch", 10*time.Second, 24*time.Hour, 10*time.Minute),
		Probe:       s.DurationOr("Probe", 100*time.Millisecond, 10*time.Second, time.Second),
		Suspect:     s.DurationOr("Suspect", 500*time.Millisecond, time.Minute, 2*time.Second),
		Join:        s.DurationOr("Join", 100*time.Millisecond, time.Minute, 2*time.Second),
		SlowCaller:  s.DurationOr("SlowCaller", time.Second, 10*time.Minute, 10*time.Second),
	}
	if t.Suspect < t.Probe {
		s.Problem("Suspect", "shorter than Probe", "at least "+t.Probe.String())
	}
	return t
}

const (
	// defaultCrossingCost makes an upload of 64 KiB wait behind 0.6 requests per slot
	// rather than leave its failure domain.
	defaultCrossingCost = 0.6
	// defaultCrossingDelay is about the round trip between data centres of one region.
	defaultCrossingDelay = 2 * time.Millisecond
	minCrossingCost      = 0.001
	maxCrossingCost      = 100
	maxCrossingDelay     = time.Second
)

func readCrossing(f *inifile.File) crossing.Config {
	s := f.Optional("Crossing")
	c := crossing.Config{
		Cost:  s.FloatOr("Cost", minCrossingCost, maxCrossingCost, defaultCrossingCost),
		Delay: s.DurationOr("Delay", 0, maxCrossingDelay, defaultCrossingDelay),
	}
	if !f.Has("Crossing") {
		return crossing.Config{}
	}
	return c
}
