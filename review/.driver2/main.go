// Command driver2 plays the scripts of the second review: it starts the processes of the system
// beside stand-ins of the store, the runners, the advice service and the clients, and checks a rule
// from what the clients and the runners see.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// maxAttempts is that of all queues.
const maxAttempts = 3

// maxPlay ends a play that hangs. A script may run for 120 s.
const maxPlay = 115 * time.Second

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/wasabihill-node", "program of the system")
	dir := flag.String("dir", "", "folder for settings and logs")
	record := flag.String("record", "", "file for what is sent, answered and run")
	rule := flag.String("rule", "", "rule that decides; empty for all")
	seed := flag.Int64("seed", time.Now().UnixNano(), "seed")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(notPlayed)
	}
	w, err := newWorld(*dir, *record, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	time.AfterFunc(maxPlay, func() {
		fmt.Fprintln(os.Stderr, "the play takes too long")
		os.Exit(notPlayed) // the processes of the system end with this one
	})
	err = play(w, *program, os.Getenv("TROUBLE") != "0")
	w.mu.Lock()
	broken := slices.Clone(w.broken)
	w.mu.Unlock()
	w.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	code := ruleHeld
	for _, b := range broken {
		fmt.Println("broken:", b)
		if len(b) >= len(*rule) && b[:len(*rule)] == *rule {
			code = ruleBroken
		}
	}
	if code == ruleHeld {
		fmt.Println("held")
	}
	os.Exit(code)
}
