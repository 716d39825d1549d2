package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"carawayshift.example/carawayshift/pkg/pause"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		start := time.Now()
		o.Expect(pause.For(ctx, time.Second)).To(BeTrue())
		o.Expect(time.Since(start)).To(Equal(time.Second))
		time.AfterFunc(time.Second, cancel)
		o.Expect(pause.For(ctx, time.Minute)).To(BeFalse())
		o.Expect(time.Since(start)).To(Equal(2 * time.Second))
	})
}
