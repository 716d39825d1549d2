package batchserver

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

func TestAwaitWrites(t *testing.T) {
	noRoom := &fs.PathError{Op: "write", Path: "probe", Err: syscall.ENOSPC}
	tests := []struct {
		name   string
		fails  []error
		waits  time.Duration
		failed error
		lines  int
	}{
		{"room at once", nil, 0, nil, 0},
		{"full for a second", []error{noRoom, noRoom}, time.Second, nil, 2},
		{"another fault", []error{syscall.EROFS}, 0, syscall.EROFS, 0},
		{"another fault after a while", []error{noRoom, syscall.EROFS}, 500 * time.Millisecond, syscall.EROFS, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewWithT(t)
				log, hook := test.NewNullLogger()
				began := time.Now()
				fails := tt.fails
				err := awaitWrites(t.Context(), func() error {
					if len(fails) == 0 {
						return nil
					}
					err := fails[0]
					fails = fails[1:]
					return err
				}, log)
				if tt.failed == nil {
					o.Expect(err).NotTo(HaveOccurred())
				} else {
					o.Expect(err).To(MatchError(tt.failed))
				}
				o.Expect(time.Since(began)).To(Equal(tt.waits))
				o.Expect(hook.Entries).To(HaveLen(tt.lines))
			})
		})
	}
}

func TestAwaitWritesEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		log, _ := test.NewNullLogger()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		o.Expect(awaitWrites(ctx, func() error { return syscall.ENOSPC }, log)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestAwaitSpaceLeavesNothingBehind(t *testing.T) {
	o := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "data")
	o.Expect(awaitSpace(t.Context(), dir, logrus.StandardLogger())).To(Succeed())
	left, err := os.ReadDir(dir)
	o.Expect(err).NotTo(HaveOccurred())
	o.Expect(left).To(BeEmpty())
}
