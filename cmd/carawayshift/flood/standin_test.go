package flood_test

import (
	"net"
	"testing"
)

// standInMemory is the memory limit of a stand-in in MiB.
const standInMemory = 128

// standIn starts a stand-in, which answers the ordinary request without any host.
func (d *deployment) standIn(what, method, path, body string, args ...string) *process {
	ip := d.network.IP(2, 1)
	addr := ip + ":9001"
	p := d.run(what, ip, standInMemory, manyFiles, append([]string{"standin", what, "--listen", addr}, args...)...)
	p.ordinary = []ordinary{{what, method, "http://" + addr + path, "", body}}
	d.answers(p)
	return p
}

// Guards against the same on the listeners of the stand-ins, which share the machine
// with the hosts.
func TestStandIns(t *testing.T) {
	for _, s := range []struct {
		name, path string
		start      func(*deployment) *process
	}{
		{"runner", "/r/fit/x", func(d *deployment) *process {
			return d.standIn("runner", "GET", "/runs", "", "--name", "r1", "--zone", "belmont", "--service", "fit", "--entry", "http://"+d.network.Address(1, 1, port))
		}},
		{"worker", "/tasks/start", func(d *deployment) *process {
			return d.standIn("worker", "GET", "/history", "", "--name", "w1", "--zone", "belmont", "--rack", "k1", "--entry", "http://"+d.network.Address(1, 1, port))
		}},
		{"agent", "/run-start", func(d *deployment) *process {
			return d.standIn("agent", "POST", "/hold", `{"fencing_token":1,"ack_cursor":0}`, "--id", "i-1", "--zone", "belmont", "--rack", "k1", "--service", "fit", "--control", d.network.Address(1, 1, port))
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			d := newDeployment(t)
			p := s.start(d)
			d.checkKinds(p, s.name, s.path, headCrowd, append([]kind{
				{"whole bodies", func(path string) func(net.Conn) { return wholeBody(path, mib) }},
				{"chunks of one byte", smallChunks},
				{"silence", func(string) func(net.Conn) { return silence }},
				{"complete bodies of small values", func(path string) func(net.Conn) { return smallValues(path, "x", mib) }},
			}, headKinds...))
			d.subtest("mixed crowd", func() {
				d.checkWhile(p, func() { mixedCrowd(d.t, p.address(s.name), 200, mixedKinds(s.path, jobBody)) })
			})
		})
	}
}
