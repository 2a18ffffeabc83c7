// Command wasabihill-bench runs the dispatch policies and a naive version
// through the cases of internal/trial and prints a table for each firm.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"wasabihill.example/wasabihill/internal/trial"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of arrivals, sizes and requests")
	parallel := flag.Int("parallel", 4, "runs at a time")
	flag.Parse()
	start, met, total := time.Now(), 0, 0
	for _, f := range trial.Firms {
		m, n := trial.Print(os.Stdout, f, trial.RunAll(f, *seed, max(1, *parallel)))
		met, total = met+m, total+n
		fmt.Println()
	}
	fmt.Printf("seed %d: %d of %d targets met, in %v\n", *seed, met, total, time.Since(start).Round(time.Second))
}
