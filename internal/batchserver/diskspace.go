package batchserver

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"carawayshift.example/carawayshift/pkg/journal"
	"carawayshift.example/carawayshift/pkg/pause"
)

const (
	// probeFile is written to test whether the disk has free space.
	probeFile = "probe"
	// probeBytes is about what the log writes per second under heavy load.
	probeBytes = 64 << 10
	// probeInterval is the time between write attempts on a full disk.
	probeInterval = 500 * time.Millisecond
)

// waitForSpace returns once dir can be written to: the data folder of a host
// without space can't be opened.
func waitForSpace(ctx context.Context, dir string, log logrus.FieldLogger) error {
	if err := os.MkdirAll(dir, 0o700); err != nil && !journal.IsDiskFull(err) {
		return errors.Wrap(err, "batchserver.waitForSpace: see [control] data")
	}
	return waitForWrite(ctx, func() error { return probeWrite(dir) }, log)
}

// waitForWrite retries write until it returns anything other than a disk full
// error.
func waitForWrite(ctx context.Context, write func() error, log logrus.FieldLogger) error {
	began := time.Now()
	for waited := false; ; waited = true {
		err := write()
		if !journal.IsDiskFull(err) {
			if waited && err == nil {
				log.WithFields(logrus.Fields{"event": "disk has room", "waited": time.Since(began).String()}).Info("data folder is writable again")
			}
			return errors.Wrap(err, "batchserver.waitForWrite: see [control] data")
		}
		if !waited {
			log.WithError(err).WithField("event", "disk full").Error("no space in the data folder; startup continues once space is freed")
		}
		if !pause.For(ctx, probeInterval) {
			return ctx.Err()
		}
	}
}

// probeWrite writes probeFile and removes it.
func probeWrite(dir string) error {
	name := filepath.Join(dir, probeFile)
	err := os.WriteFile(name, make([]byte, probeBytes), 0o600)
	if removeErr := os.Remove(name); err == nil {
		err = removeErr
	}
	return err
}
