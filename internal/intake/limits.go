package intake

import (
	"syscall"
	"time"

	"carawayshift.example/carawayshift/internal/settings"
)

const (
	// defaultMemory is assumed where no limit is known.
	defaultMemory = 1 << 30
	// bodyPart and connectionPart are the parts of the memory limit that bodies and
	// open connections may use. The rest is for the state, for other hosts and for what
	// the collector has not freed yet.
	bodyPart       = 8
	connectionPart = 8
	// peerPart and peerConnectionPart are those of the messages and of the connections
	// of other hosts.
	peerPart           = 8
	peerConnectionPart = 10
	peerConnectionSize = 64 << 10
	// bufferPart is that of the large buffers of sockets.
	bufferPart = 16
	// connectionSize is the memory of one connection with its goroutine and buffers.
	connectionSize = 24 << 10
	// maxFiles bounds what a process without a limit counts with. reservedFiles is the
	// number of descriptors that are not available to sockets.
	maxFiles      = 1 << 20
	reservedFiles = 200
	// smallListeners is the number of connections of listeners for the platform.
	smallListeners = 64
)

// Limits holds the limits of one process.
type Limits struct {
	// Bodies is the budget of bytes for bodies and long heads.
	Bodies int64
	// Buffers is the number of bytes that the kernel may queue in large buffers of
	// sockets.
	Buffers int64
	// Headers is the size of the headers of a request in bytes.
	Headers int
	// Peers is the budget of bytes for the messages of other hosts, and PeerConnections
	// the number of connections that they open.
	Peers           int64
	PeerConnections int
	// Connections is the number of connections of the listener with the most clients,
	// Platform that of a listener for the platform's own requests.
	Connections int
	Platform    int
	// A body may take Stall and one second for each Pace bytes.
	Stall time.Duration
	Pace  int64
}

// Derive returns the limits of a process from its settings. Body is the size of the
// largest body that it reads.
func Derive(l settings.Limits, body int64) Limits {
	memory := l.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	out := Limits{Bodies: l.Bodies, Headers: l.Headers, Connections: l.Connections, Stall: l.Stall, Pace: l.Pace}
	if out.Bodies <= 0 {
		// The reserved part of the budget is not available to the largest body.
		out.Bodies = max(memory/bodyPart, (heldCopies+2)*body)
	}
	if out.Connections <= 0 {
		out.Connections = max(min(int(memory/connectionPart/connectionSize), usableFiles(l.Files)/2), 1)
	}
	out.Buffers = memory / bufferPart
	out.Peers = memory / peerPart
	out.PeerConnections = int(memory / peerConnectionPart / peerConnectionSize)
	out.Platform = max(min(smallListeners, out.Connections/8), 1)
	return out
}

// RuntimeMemory returns the part of the memory limit of a host that the Go runtime may
// use. The rest is for the program, the threads and the queues of sockets.
func RuntimeMemory(memory int64) int64 { return memory / 8 * 5 }

// usableFiles returns the number of descriptors that are left for sockets. The listener
// with the most clients may use half of them: the others are for other hosts, runners
// and the other listeners. The process's own limit holds if it is lower.
func usableFiles(files int) int {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil && (files <= 0 || own.Cur < uint64(files)) {
		files = int(min(own.Cur, maxFiles))
	}
	return files - min(reservedFiles, files/5)
}

// pieceTime is the time within which a client has to take a piece of a response.
func (l Limits) pieceTime() time.Duration {
	return l.Stall + writePiece*time.Second/time.Duration(l.Pace)
}
