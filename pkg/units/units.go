// Package units defines the identifier types and the units of measurement that
// the other packages share. Its functions are safe for concurrent use.
package units

import (
	"fmt"
	"strconv"
	"strings"
)

// Identifiers of the entities that the scheduler manages. They are opaque strings
// from settings files or the environment's document, or are assigned by an entry
// process.
type (
	// WorkerID identifies a worker, the machine that runs tasks.
	WorkerID string
	// EntryID identifies an entry process.
	EntryID string
	// DomainName names a failure domain.
	DomainName string
	// RegionName names a region; a region holds failure domains.
	RegionName string
	// RackName names a rack within a failure domain.
	RackName string
	// TeamName names a team that owns work and holds a quota.
	TeamName string
	// ServiceName names a latency-critical service.
	ServiceName string
	// EnvironmentName names an environment, such as trial or production.
	EnvironmentName string
	// JobID identifies a job.
	JobID string
	// JobKind groups jobs whose sizes, run times and interference are estimated
	// together.
	JobKind string
)

// Epoch is the fencing token of a worker's holder. The worker issues a higher one
// to each new holder and refuses commands with an older one.
type Epoch uint64

// Term numbers the successive lessors within one epoch of a worker, from 1.
type Term uint64

// Attempt numbers the attempts of a task, from 1; 0 means that there was none yet.
type Attempt uint32

// Offset is a position in a stream of the log service.
type Offset uint64

// Millicores is an amount of processor capacity in thousandths of a core.
type Millicores int64

// Bytes is an amount of memory in bytes.
type Bytes int64

// Binary units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Resources is an amount of each resource that placement and admission account
// for. Accelerators counts accelerator cards.
type Resources struct {
	Processors   Millicores
	Memory       Bytes
	Accelerators int32
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is no larger than available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.Processors <= available.Processors && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String formats r as "2.5 cores, 4GiB, 1 accelerators".
func (r Resources) String() string {
	return fmt.Sprintf("%s cores, %s, %d accelerators", r.Processors, r.Memory, r.Accelerators)
}

// String formats m in cores, for example "2.5".
func (m Millicores) String() string {
	return strconv.FormatFloat(float64(m)/1000, 'f', -1, 64)
}

// String formats b with the first unit of byteUnits that divides it without a
// remainder, for example "16GiB" or "125GB".
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// parseDecimal parses a plain decimal number. It rejects hexadecimal numbers,
// exponents, NaN and infinities, which strconv accepts but which are no valid
// sizes.
func parseDecimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil
}

// ParseMillicores parses a number of cores, such as "2", "0.5" or "250m". Any
// other form is an error.
func ParseMillicores(s string) (Millicores, error) {
	if number, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseUint(number, 10, 40)
		if err != nil {
			return 0, fmt.Errorf("processors %q: want cores such as \"2\", \"0.5\" or \"250m\"", s)
		}
		return Millicores(n), nil
	}
	f, ok := parseDecimal(s)
	if !ok || f > 1e6 {
		return 0, fmt.Errorf("processors %q: want cores such as \"2\", \"0.5\" or \"250m\"", s)
	}
	return Millicores(f*1000 + 0.5), nil
}

// byteUnits lists the units of memory in the order in which String and ParseBytes
// try them.
var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"TiB", 1 << 40}, {"GiB", GiB}, {"TB", 1e12}, {"GB", 1e9}, {"MiB", MiB}, {"MB", 1e6}, {"KiB", KiB}, {"KB", 1e3}, {"B", 1}}

// ParseBytes parses an amount of memory, such as "512MiB" or "125GB". A missing
// unit, a negative number and an amount above 1<<60 bytes are errors.
func ParseBytes(s string) (Bytes, error) {
	for _, u := range byteUnits {
		head, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		f, ok := parseDecimal(head)
		if !ok || f*float64(u.size) > 1<<60 {
			break
		}
		return Bytes(f * float64(u.size)), nil
	}
	return 0, fmt.Errorf("memory %q: want a number and one of KiB, MiB, GiB, TiB, KB, MB, GB, TB, B", s)
}

// Priority ranks work by its value to the business; a higher priority is placed
// first.
type Priority int

// The priorities in ascending order. The zero value is invalid, so that an omitted
// priority is detected.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

var priorityNames = map[Priority]string{PriorityLow: "low", PriorityNormal: "normal", PriorityHigh: "high", PriorityUrgent: "urgent"}

// String returns the name that documents use, such as "urgent".
func (p Priority) String() string {
	if name, ok := priorityNames[p]; ok {
		return name
	}
	return fmt.Sprintf("priority(%d)", int(p))
}

// ParsePriority parses "low", "normal", "high" or "urgent"; any other text is an
// error.
func ParsePriority(s string) (Priority, error) {
	for p, name := range priorityNames {
		if name == s {
			return p, nil
		}
	}
	return 0, fmt.Errorf("priority %q: want low, normal, high or urgent", s)
}

// Task identifies one task of a job. Index counts from 0.
type Task struct {
	Job   JobID
	Index uint32
}

// String formats t as "job/3".
func (t Task) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTask parses the format of Task.String. The job may contain slashes: the
// last one separates it from the index.
func ParseTask(s string) (Task, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return Task{}, fmt.Errorf("task %q: want job/index", s)
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 32)
	if err != nil {
		return Task{}, fmt.Errorf("task %q: want job/index", s)
	}
	return Task{JobID(s[:i]), uint32(n)}, nil
}
