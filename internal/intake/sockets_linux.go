package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// ackTimeout returns the options that end a connection whose peer takes nothing of what is
// queued for it.
func ackTimeout(timeout time.Duration) []option {
	return []option{{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())}}
}

// maxWindow returns the options that let the window grow to size bytes.
func maxWindow(size int) []option {
	return []option{{unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, size}}
}
