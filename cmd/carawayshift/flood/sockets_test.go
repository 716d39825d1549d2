package flood_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// listenState is the state of listening sockets in /proc/net/tcp, whose queue
// columns count connections.
const listenState = "0A"

// queuedBytes returns the bytes in the send and receive queues of all sockets of an
// address, also of those that no process holds any more, and the number of those that
// one holds. The bytes count toward the memory of the host.
func queuedBytes(ip string) (queued, held int) {
	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	for _, table := range []string{"/proc/net/tcp", "/proc/net/udp"} {
		q, h := queuedIn(table, local)
		queued, held = queued+q, held+h
	}
	return queued, held
}

func queuedIn(table, local string) (queued, held int) {
	f, err := os.Open(table)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		row := strings.Fields(lines.Text())
		if len(row) < 10 || !strings.HasPrefix(row[1], local) || row[3] == listenState {
			continue
		}
		if row[9] != "0" { // the inode
			held++
		}
		for _, hex := range strings.Split(row[4], ":") {
			n, _ := strconv.ParseInt(hex, 16, 64)
			queued += int(n)
		}
	}
	return queued, held
}
