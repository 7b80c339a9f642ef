package settings

import (
	"github.com/briarrouter/briarrouter/socket"
	"github.com/briarrouter/briarrouter/unit"
)

const (
	// memoryShare is the share of the process's memory, as a divisor, that Buffers is by
	// default, and that the fixed memory of callers' connections may take. What is left
	// holds the program, recorded responses and garbage.
	memoryShare = 4
	// connectionMemory is what a caller's connection takes while a request of ordinary
	// size is in progress: stacks of two tasks, a reader, a writer and a chunk.
	connectionMemory = 32 * unit.KiB
	// maxDefaultConnections and minDefaultConnections bound the default of
	// CallerConnections, defaultBuffersUnknown is the default of Buffers if the memory is
	// not stated.
	maxDefaultConnections = 4096
	minDefaultConnections = 16
	defaultBuffersUnknown = 64 * unit.MiB
	maxDefaultBuffers     = 4 * unit.GiB
)

func defaultBuffers(process unit.Bytes) unit.Bytes {
	if process == 0 {
		return defaultBuffersUnknown
	}
	return min(process/memoryShare, maxDefaultBuffers)
}

// connectionShare returns the share of the descriptors that connections of callers, and
// those to targets, may take: two fifths each, since a request takes one of each. The rest
// is for peers, address lookups, operators, the store and files.
func connectionShare(descriptors int) int { return descriptors * 2 / 5 }

// TargetConnections returns the bound on the connections to all targets together; zero for
// no bound, if Descriptors is not stated.
func (l Limits) TargetConnections() int { return connectionShare(l.Descriptors) }

// defaultCallerConnections returns the default of CallerConnections.
func defaultCallerConnections(process unit.Bytes, descriptors int) int {
	n := maxDefaultConnections
	if process > 0 {
		n = min(n, int(process/memoryShare/connectionMemory))
	}
	if descriptors > 0 {
		n = min(n, connectionShare(descriptors))
	}
	return max(n, minDefaultConnections)
}

// softLimitShare is the part of the process's memory, in percent, at which the garbage
// collector works harder. The rest holds the program's own pages, which the collector does
// not count, and what is allocated during a collection.
const softLimitShare = 75

// SoftMemoryLimit returns the memory that the garbage collector aims to stay under, or zero
// if the memory of the process is not stated.
func (l Limits) SoftMemoryLimit() unit.Bytes { return l.Memory / 100 * softLimitShare }

const (
	// maxServiceConnections bounds the open connections at an address for lookups or for
	// operators, each of which lasts a moment.
	maxServiceConnections = 512
	minServiceConnections = 8
	// serviceShare is the share of the descriptors, as a divisor, that they may take.
	serviceShare = 32
)

// ServiceConnections returns the bound on the open connections at each address for address
// lookups, for readiness checks and for operators; zero for no bound, if neither Memory
// nor Descriptors is stated.
func (l Limits) ServiceConnections() int {
	switch {
	case l.Descriptors > 0:
		return max(minServiceConnections, min(maxServiceConnections, l.Descriptors/serviceShare))
	case l.Memory > 0:
		return maxServiceConnections
	default:
		return 0
	}
}

const (
	minPeerConnections = 32
	maxPeerConnections = 4096
	// peerShare is the share of the descriptors, as a divisor, that the connections of
	// peers may take. Each peer keeps a few.
	peerShare = 8
)

// PeerConnections returns the bound on the open connections at the address for peers; zero
// for no bound, if Descriptors is not stated.
func (l Limits) PeerConnections() int {
	if l.Descriptors == 0 {
		return 0
	}
	return max(minPeerConnections, min(maxPeerConnections, l.Descriptors/peerShare))
}

// What the operating system may hold for one connection if Memory is stated. A header
// section of ordinary size and the first packets of a body fit in receiveBuffer.
const (
	receiveBuffer = 16 * unit.KiB
	sendBuffer    = 16 * unit.KiB
	// targetSendBuffer is larger, since uploads pass through it.
	targetSendBuffer = 32 * unit.KiB
	// peerBuffer is larger, since relayed bodies and lists of targets pass through it.
	peerBuffer = 64 * unit.KiB
)

func (l Limits) buffers(b socket.Buffers) socket.Buffers {
	if l.Memory == 0 {
		return socket.Buffers{}
	}
	return b
}

// ServiceBuffers returns the buffers of connections for address lookups, for readiness
// checks and for operators.
func (l Limits) ServiceBuffers() socket.Buffers {
	return l.buffers(socket.Buffers{Receive: receiveBuffer, Send: sendBuffer})
}

// PeerBuffers returns the buffers of connections of peers.
func (l Limits) PeerBuffers() socket.Buffers {
	return l.buffers(socket.Buffers{Receive: peerBuffer, Send: peerBuffer})
}

// CallerBuffers returns the buffers of connections of callers.
func (l Limits) CallerBuffers() socket.Buffers {
	return l.buffers(socket.Buffers{Receive: receiveBuffer, Send: sendBuffer})
}

// TargetBuffers returns the buffers of connections to targets.
func (l Limits) TargetBuffers() socket.Buffers {
	return l.buffers(socket.Buffers{Receive: receiveBuffer, Send: targetSendBuffer})
}
