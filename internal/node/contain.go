package node

import (
	"runtime/debug"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Panicked is the kind of an error that stands for a panic.
const Panicked Kind = "panicked"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// contain calls fn and turns a panic into an error of kind Panicked, so that an unexpected
// error ends a part of the process and not the process, on which others depend.
func contain(m metrics, fn func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			m.countPanic()
			klog.ErrorS(nil, "a part of the process panicked", "cause", cause, "stack", string(debug.Stack()))
			err = fault.New("run", Panicked, "%v", cause)
		}
	}()
	return fn()
}
