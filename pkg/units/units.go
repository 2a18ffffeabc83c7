// Package units holds the named ids and units that the other packages share.
package units

import (
	"fmt"
	"strconv"
	"strings"
)

// Ids of the entities that the scheduler knows. They are opaque strings chosen
// in settings, in the environment's document or by an entry.
type (
	// WorkerID names a worker, the machine that runs tasks.
	WorkerID string
	// EntryID names an entry process.
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
	// JobID names a job.
	JobID string
	// JobKind is the key under which sizes, run times and interference are learned.
	JobKind string
)

// Epoch counts the holders of a worker; the worker issues it and refuses older ones.
type Epoch uint64

// Term counts the lessors of one worker epoch, from 1.
type Term uint64

// Attempt counts the attempts of a task, from 1; 0 means none yet.
type Attempt uint32

// Offset is a position in a stream of the log service.
type Offset uint64

// Millicores measures processors: 1000 are one core.
type Millicores int64

// Bytes measures memory.
type Bytes int64

// Common sizes of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// Resources are the sizes that placement and admission count.
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

// Fits reports whether r is no larger than room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.Processors <= room.Processors && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
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

// String formats b with the largest unit that divides it, binary units first.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// parseDecimal reads a plain decimal number. strconv also takes hexadecimal
// numbers, exponents, NaN and infinities, none of which is a size.
func parseDecimal(s string) (float64, bool) {
	if s == "" || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	f, err := strconv.ParseFloat(s, 64)
	return f, err == nil
}

// ParseMillicores reads cores such as "2", "0.5" or "250m".
func ParseMillicores(s string) (Millicores, error) {
	if head, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseUint(head, 10, 40)
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

// byteUnits lists the units of memory in the order in which String tries them.
var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"TiB", 1 << 40}, {"GiB", GiB}, {"TB", 1e12}, {"GB", 1e9}, {"MiB", MiB}, {"MB", 1e6}, {"KiB", KiB}, {"KB", 1e3}, {"B", 1}}

// ParseBytes reads memory such as "512MiB" or "125GB".
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

// Priority ranks work by its value to the business; a higher value goes first.
type Priority int

// The ranks of priority. The zero value is invalid so that an omitted one shows.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityHigh
	PriorityUrgent
)

var priorityNames = map[Priority]string{PriorityLow: "low", PriorityNormal: "normal", PriorityHigh: "high", PriorityUrgent: "urgent"}

// String returns the name used in documents, such as "urgent".
func (p Priority) String() string {
	if name, ok := priorityNames[p]; ok {
		return name
	}
	return fmt.Sprintf("priority(%d)", int(p))
}

// ParsePriority reads "low", "normal", "high" or "urgent".
func ParsePriority(s string) (Priority, error) {
	for w, name := range priorityNames {
		if name == s {
			return w, nil
		}
	}
	return 0, fmt.Errorf("priority %q: want low, normal, high or urgent", s)
}

// Task names one task of a job.
type Task struct {
	Job   JobID
	Index uint32
}

// String formats t as "job/3".
func (t Task) String() string { return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10) }

// ParseTask reads the form that Task.String writes.
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
