// Command standin runs the cases of this review: the runners, requesters and operators
// that the project's own programs meet, and the checks of the rules.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// A case returns true if the rule was broken. trouble is false when the disruption is to
// be left out.
type caseFunc func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runners" {
		fmt.Println(runFleet(os.Args[2]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER | standin runners FILE")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2
// if the case could not run.
func runCase(fn caseFunc, dir string) int {
	dir, err := filepath.Abs(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d, err := newDeployment(dir)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.close()
	go d.endEarly()
	broken, err := fn(d, os.Getenv("TROUBLE") != "0")
	d.copyEvents()
	switch {
	case err != nil:
		d.rec.printf("RESULT: %v", err)
		fmt.Println(err)
		return 2
	case broken:
		d.rec.printf("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	d.rec.printf("RESULT: the rule held")
	fmt.Println("the rule held")
	return 0
}

// endEarly ends the processes if the script is ended by a signal or takes too long.
func (d *deployment) endEarly() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-ended:
	case <-time.After(maxRunTime):
	}
	d.rec.printf("RESULT: the script was ended early")
	d.close()
	os.Exit(2)
}

func unable(format string, args ...any) error {
	return errors.Join(errUnable, fmt.Errorf(format, args...))
}
