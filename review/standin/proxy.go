package main

import (
	"net"
	"sync"
	"time"
)

// link is a path that can be cut: while it is cut, nothing passes in either direction,
// no channel is reset, and no new one comes about.
type link struct {
	mu   sync.Mutex
	cond *sync.Cond
	down bool
}

func newLink() *link {
	l := &link{}
	l.cond = sync.NewCond(&l.mu)
	return l
}

func (l *link) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.cond.Broadcast()
}

// await returns once the link is not cut, and reports whether it was.
func (l *link) await() (wasDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.down {
		wasDown = true
		l.cond.Wait()
	}
	return wasDown
}

// serve forwards the channels from one address to another.
func (l *link) serve(from, to string) error {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c, to)
		}
	}()
	return nil
}

func (l *link) forward(c net.Conn, to string) {
	defer c.Close()
	if l.await() {
		return // the opening packet was lost
	}
	s, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	for _, p := range [][2]net.Conn{{c, s}, {s, c}} {
		go func() {
			l.pump(p[0], p[1])
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *link) pump(from, to net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		l.await()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
