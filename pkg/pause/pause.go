// Package pause waits for a time that a context can cut short.
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

// For waits and reports whether the context still runs.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	return ctx.Err() == nil
}
