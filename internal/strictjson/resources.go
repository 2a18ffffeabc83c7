// An amount of resources has the same format in documents and in jobs.

package strictjson

import "wasabihill.example/wasabihill/pkg/units"

// maxAccelerators limits an amount of accelerator cards, so that the sum over all workers
// can't overflow.
const maxAccelerators = 1 << 20

// ResourceFields defines the format of an amount of resources. It must not be modified.
var ResourceFields = []Field[units.Resources]{
	{Name: "processors", Type: "cores", Required: true, Purpose: "such as \"2\", \"0.5\" or \"250m\"",
		Read: func(r *units.Resources, n Node) { r.Processors = n.Processors() }},
	{Name: "memory", Type: "memory", Required: true, Purpose: "such as \"16GiB\" or \"125GB\"",
		Read: func(r *units.Resources, n Node) { r.Memory = n.Memory() }},
	{Name: "accelerators", Type: "whole number", Purpose: "accelerator cards; 0 when omitted",
		Read: func(r *units.Resources, n Node) { r.Accelerators = int32(n.Int(0, maxAccelerators)) }},
}

// CheckPositive reports processors and memory that are not positive. path is the field path
// of the amount.
func CheckPositive(path string, r units.Resources, report func(field, format string, args ...any)) {
	if r.Processors <= 0 {
		report(joinPath(path, "processors"), "got %v; want more than 0", r.Processors)
	}
	if r.Memory <= 0 {
		report(joinPath(path, "memory"), "got %v; want more than 0", r.Memory)
	}
}
