// Command wasabihill runs the processes of the scheduler and its operators'
// verbs.
package main

func main() {}
