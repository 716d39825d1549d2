//go:build !linux

package intake

import "time"

// ackTimeout returns no options: what a closed connection has queued is kept until the
// system's own timeout, which is longer.
func ackTimeout(time.Duration) []option { return nil }

// maxWindow returns no options: the window follows the size of the buffer.
func maxWindow(int) []option { return nil }
