// Command wasabihill-standin runs small substitutes for the platform.
package main

func main() {}
