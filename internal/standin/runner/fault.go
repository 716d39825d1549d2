package runner

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Kinds of faults. Slow multiplies the service time, FailFast answers 500
// without taking a slot, CloseFirst resets the connection after one byte,
// Truncate closes it in the middle of the answer, WrongAnswer sends the answer
// of another request, Delay sends the answer late and Hang sends none.
const (
	Slow        = "slow"
	FailFast    = "failfast"
	CloseFirst  = "closefirst"
	Truncate    = "truncate"
	WrongAnswer = "cross"
	Delay       = "delay"
	Hang        = "hang"
)

// Fault makes some of the requests fail in one way.
type Fault struct {
	Kind string `json:"kind"`
	// Share is the fraction of requests that the fault applies to; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Factor multiplies the service time of slow requests; 0 means 10.
	Factor float64 `json:"factor,omitempty"`
	// Millis is the delay of delayed answers in milliseconds.
	Millis int `json:"millis,omitempty"`
}

const (
	defaultFactor = 10
	maxFaults     = 16
	// hangTimeout bounds how long a hanging request occupies its slot.
	hangTimeout = 10 * time.Minute
)

// SetFaults replaces the list of faults; the first one that applies to a request
// is used.
func (r *Runner) SetFaults(faults ...Fault) {
	r.mu.Lock()
	r.faults = faults
	r.mu.Unlock()
}

func (r *Runner) serveFaults(w http.ResponseWriter, req *http.Request) {
	var faults []Fault
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 64<<10)).Decode(&faults)
	if err != nil || len(faults) > maxFaults {
		http.Error(w, "send a JSON list of at most 16 faults", http.StatusBadRequest)
		return
	}
	r.SetFaults(faults...)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Runs())
}

// pickFault returns the first fault that applies to this request.
func (r *Runner) pickFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.faults {
		if f.Share <= 0 || r.rnd.Float64() < f.Share {
			return f
		}
	}
	return Fault{}
}

// sendTruncated writes the headers and a fraction of the body and closes the
// connection. With a fraction of 0 it writes one byte and resets the connection.
func sendTruncated(w http.ResponseWriter, attempt string, body []byte, fraction float64, chunked bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\n"
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	}
	out := []byte(head)
	if fraction > 0 {
		out = append(out, body[:int(fraction*float64(len(body)))]...)
	} else {
		out = out[:1]
	}
	if tcp, ok := conn.(*net.TCPConn); ok && fraction <= 0 {
		_ = tcp.SetLinger(0)
	}
	_, _ = conn.Write(out)
}
