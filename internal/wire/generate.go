// Package wire defines the protobuf messages that the processes of wasabihill
// exchange and the records that they write to their streams. The generated files
// are committed, so a build needs no generator; `make generate` needs protoc.
package wire

//go:generate go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative link.proto records.proto workflow.proto
