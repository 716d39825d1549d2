package carawayshift_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift"
	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/replica"
)

// counter is a minimal state machine that counts the commands.
type counter struct{ n uint64 }

func (c *counter) Apply(index uint64, entry []byte) []byte {
	var command carawayshift.Command
	answer := carawayshift.Answer{Index: index}
	if err := carawayshift.Decode(entry, &command); err == nil {
		c.n++
		answer.ID, answer.Version = command.ID, c.n
	}
	b, _ := carawayshift.Encode(answer)
	return b
}

func (c *counter) Snapshot(w io.Writer) error { return binary.Write(w, binary.BigEndian, c.n) }

func (c *counter) Restore(r io.Reader) error { return binary.Read(r, binary.BigEndian, &c.n) }

// noPeers is the transport of a host without peers.
type noPeers struct{}

func (noPeers) Call(_ context.Context, host, _ string, _ []byte) ([]byte, error) {
	return nil, carawayshift.NewError(carawayshift.NotRun, "no host "+host, "start a group of one host")
}

func (noPeers) Handle(string, carawayshift.Handler) {}

// Example embeds a replicated log of one host. A larger group lists its hosts
// in Voters and supplies a transport that reaches them.
func Example() {
	if err := embed(); err != nil {
		fmt.Println(err)
	}
	// Output: command a is number 1
}

func embed() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir, err := os.MkdirTemp("", "carawayshift-example")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	j, err := journal.Open(dir)
	if err != nil {
		return err
	}
	defer j.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := replica.New(replica.Config{Host: "e1", Voters: []string{"e1"}, Logger: log}, j, &counter{}, noPeers{})
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- r.Run(run) }()
	answer, err := r.Propose(ctx, carawayshift.Command{ID: "a", Kind: carawayshift.AddNote, At: time.Now().UTC()})
	stop()
	if err = errors.Join(err, ignoreCancelled(<-ended)); err != nil {
		return err
	}
	fmt.Printf("command %s is number %d\n", answer.ID, answer.Version)
	return nil
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
