// Package pause provides a sleep that ends early when its context ends.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		...
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx has not ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return ctx.Err() == nil
}
