// Command driver plays one case of the review. It starts the project's programs as separate
// processes with the commands of deploy/system.toml, on loopback addresses, and stands in for
// the platform's store, the runners, the advice service, the operator and the clients. It
// writes what was sent, answered and run to a record. It exits with 1 if the rule of the case
// was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxCaseTime ends a case that hangs, so that its processes are ended too.
const maxCaseTime = 112 * time.Second

// cases maps the name of a case to the function that plays it. The function returns whether
// the rule was broken.
var cases = map[string]func(context.Context, *site) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to which the record is written")
	node := flag.String("node", "target/wasabihill-node", "path of the project's program")
	keep := flag.String("keep", "", "directory in which settings and logs are kept; a temporary one when empty")
	flag.Parse()
	os.Exit(run(*name, *record, *node, *keep))
}

func run(name, record, node, keep string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "driver: no case %q\n", name)
		return notRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	s, err := newSite(record, node, keep, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return notRun
	}
	defer s.close()
	broken, err := play(ctx, s)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		s.log.printf("result", "the case could not run: %v", err)
		return notRun
	case broken:
		s.log.printf("result", "the rule was broken")
		return ruleBroken
	}
	s.log.printf("result", "the rule held")
	return ruleHeld
}
