// Command driver2 plays the scripts of the second review.
package main

import (
	"flag"
	"fmt"
	"os"
)

const maxAttempts = 3

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/wasabihill-node", "program of the system")
	dir := flag.String("dir", "", "folder for the record")
	seed := flag.Int64("seed", 1, "seed")
	flag.Parse()
	w, err := newWorld(*dir, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	err = play(w, *program, trouble)
	w.mu.Lock()
	broken := len(w.broken)
	for _, b := range w.broken {
		fmt.Println("BROKEN", b)
	}
	w.mu.Unlock()
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
	fmt.Println("held")
}
