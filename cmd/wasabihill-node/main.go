// Command wasabihill-node runs a process of the scheduler on the users' platform.
// The environment variable WASABIHILL_SETTINGS names its settings file.
package main

import (
	"context"
	"os"

	"wasabihill.example/wasabihill/platform"
)

func main() {
	os.Exit(platform.Main(context.Background(), os.Args))
}
