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

func TestWaitForWrite(t *testing.T) {
	errNoSpace := &fs.PathError{Op: "write", Path: "probe", Err: syscall.ENOSPC}
	tests := []struct {
		name      string
		writeErrs []error
		waited    time.Duration
		want      error
		logLines  int
	}{
		{"space available", nil, 0, nil, 0},
		{"full for a second", []error{errNoSpace, errNoSpace}, time.Second, nil, 2},
		{"other error", []error{syscall.EROFS}, 0, syscall.EROFS, 0},
		{"other error after a full disk", []error{errNoSpace, syscall.EROFS}, 500 * time.Millisecond, syscall.EROFS, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewWithT(t)
				log, hook := test.NewNullLogger()
				began := time.Now()
				writeErrs := tt.writeErrs
				err := waitForWrite(t.Context(), func() error {
					if len(writeErrs) == 0 {
						return nil
					}
					err := writeErrs[0]
					writeErrs = writeErrs[1:]
					return err
				}, log)
				if tt.want == nil {
					o.Expect(err).NotTo(HaveOccurred())
				} else {
					o.Expect(err).To(MatchError(tt.want))
				}
				o.Expect(time.Since(began)).To(Equal(tt.waited))
				o.Expect(hook.Entries).To(HaveLen(tt.logLines))
			})
		})
	}
}

func TestWaitForWriteReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		log, _ := test.NewNullLogger()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		o.Expect(waitForWrite(ctx, func() error { return syscall.ENOSPC }, log)).To(MatchError(context.DeadlineExceeded))
	})
}

func TestWaitForSpaceRemovesProbeFile(t *testing.T) {
	o := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "data")
	o.Expect(waitForSpace(t.Context(), dir, logrus.StandardLogger())).To(Succeed())
	left, err := os.ReadDir(dir)
	o.Expect(err).NotTo(HaveOccurred())
	o.Expect(left).To(BeEmpty())
}
