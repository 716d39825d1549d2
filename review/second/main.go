// Command second runs the scripts of the second review. Each case starts a deployment
// of real processes on loopback addresses and judges what requesters, runners, the
// operator and the platform see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// most is how long a script may take.
const most = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (broken bool, text string){
	"reclaim":  caseReclaim,
	"cancel":   caseCancel,
	"upkeep":   caseUpkeep,
	"affinity": caseAffinity,
	"reserve":  caseReserve,
	"leader":   caseLeader,
	"foreign":  caseForeign,
	"chaos":    caseChaos,
}

func main() { os.Exit(run()) }

func run() (status int) {
	fn := cases[os.Getenv("CASE")]
	if fn == nil {
		fmt.Println("CASE names no case")
		return 2
	}
	defer func() {
		if v := recover(); v != nil {
			c, ok := v.(couldNotRun)
			if !ok {
				panic(v)
			}
			fmt.Println("could not run:", c.text)
			status = 2
		}
	}()
	d := newDeployment()
	defer d.stop()
	go d.watchdog()
	broken, text := fn(d, os.Getenv("TROUBLE") != "0")
	verdict := "HELD"
	if broken {
		verdict, status = "BROKEN", 1
	}
	d.note("%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	return status
}

// watchdog ends the processes and the program on a signal, or when it takes too long.
func (d *deployment) watchdog() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-c:
	case <-time.After(most):
	}
	fmt.Println("could not run: ended by a signal or after too long")
	d.stop()
	os.Exit(2)
}
