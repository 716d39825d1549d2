// Package loopback reserves loopback addresses for deployments of stand-in processes, so
// that deployments that run at the same time on one machine don't share addresses.
//
// # Usage
//
//	n, err := loopback.Reserve()
//	defer n.Close()
//	address := n.Address(1, 20, 8480) // such as 127.17.1.20:8480
//
// Outgoing connections to a loopback address come from 127.0.0.1. They take no port of a
// reserved address, also not while the process that listens there is restarted.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

const (
	// Networks are 127.N.0.0/16 with N from firstNetwork on.
	firstNetwork = 16
	networks     = 224
	// lockPort is below the ports that Linux gives to outgoing connections.
	lockPort = 20999
)

// Network is a reserved range of loopback addresses, 127.N.0.0/16.
type Network struct {
	number int
	lock   net.Listener
}

// Reserve returns a network that no other process has reserved. It is reserved until
// Close or the end of the process. If all are taken, the error has kind Unavailable.
func Reserve() (*Network, error) {
	start := rand.IntN(networks)
	for i := range networks {
		n := &Network{number: firstNetwork + (start+i)%networks}
		lock, err := net.Listen("tcp", n.Address(255, 254, lockPort))
		if err == nil {
			n.lock = lock
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Wrap(err, "loopback.Reserve")
		}
	}
	return nil, carawayshift.NewError(carawayshift.Unavailable, "all loopback networks are reserved", "end other deployments of stand-in processes")
}

// IP returns the address 127.N.third.fourth.
func (n *Network) IP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.number, third, fourth)
}

// Address returns the address of a port of IP(third, fourth).
func (n *Network) Address(third, fourth, port int) string {
	return fmt.Sprintf("%s:%d", n.IP(third, fourth), port)
}

// Close ends the reservation.
func (n *Network) Close() error { return n.lock.Close() }
