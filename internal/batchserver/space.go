package batchserver

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// probeFile is written to find out whether the disk takes data.
	probeFile = "probe"
	// probeBytes is about what the log takes in a second of heavy load.
	probeBytes = 64 << 10
	// probeEvery is the time between probes of a full disk.
	probeEvery = 500 * time.Millisecond
)

// awaitSpace returns once the data folder takes data. A host whose disk is
// full stops, because it can't confirm anything; it must not come back, and be
// counted on, before there is room.
func awaitSpace(ctx context.Context, dir string, log logrus.FieldLogger) error {
	if err := os.MkdirAll(dir, 0o700); err != nil && !full(err) {
		return errors.Wrap(err, "batchserver.awaitSpace: see [control] data")
	}
	return awaitWrites(ctx, func() error { return probe(dir) }, log)
}

// awaitWrites waits until a write does not fail for want of room.
func awaitWrites(ctx context.Context, write func() error, log logrus.FieldLogger) error {
	began := time.Now()
	for waited := false; ; waited = true {
		err := write()
		if !full(err) {
			if waited && err == nil {
				log.WithFields(logrus.Fields{"event": "disk has room", "waited": time.Since(began).String()}).Info("the data folder takes data again")
			}
			return errors.Wrap(err, "batchserver.awaitWrites: see [control] data")
		}
		if !waited {
			log.WithError(err).WithField("event", "disk full").Error("no room in the data folder, free some; the host starts then")
		}
		if !pause.For(ctx, probeEvery) {
			return ctx.Err()
		}
	}
}

func full(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// probe writes and removes a file.
func probe(dir string) error {
	name := filepath.Join(dir, probeFile)
	err := os.WriteFile(name, make([]byte, probeBytes), 0o600)
	if removed := os.Remove(name); err == nil {
		err = removed
	}
	return err
}
