// Package administration defines the types of the administration API and implements
// a client for it.
package administration

import (
	"encoding/json"
	"time"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// KeyHeader is the HTTP header with the idempotency key of a mutation. A repeated
// request with the same key has no second effect and gets the reply of the first.
const KeyHeader = "Idempotency-Key"

// Document is one version of an environment's document.
type Document struct {
	Environment units.EnvironmentName `json:"environment"`
	Version     units.Offset          `json:"version"` // offset of its record in the stream "config"
	Author      string                `json:"author"`
	Text        string                `json:"text,omitempty"` // as published, with comments; empty in the result of History
}

// Publication is the request to publish a new version of an environment's document.
type Publication struct {
	Environment units.EnvironmentName
	Key         string       // idempotency key: publications with the same key take effect at most once
	Base        units.Offset // version that the new one replaces; 0 for the first document
	Author      string
	Text        []byte
}

// Published is the reply to an accepted edit of a document.
type Published struct {
	Environment units.EnvironmentName `json:"environment"`
	Version     units.Offset          `json:"version"`
	Changes     []environment.Change  `json:"changes"` // from the previous version; empty when nothing changed
}

// Checked is the reply to a check.
type Checked struct {
	Base     units.Offset          `json:"base"` // version that the text was compared with
	Problems []environment.Problem `json:"problems"`
	Changes  []environment.Change  `json:"changes"`
}

// Size is an amount of resources that is encoded in JSON as documents have it.
type Size units.Resources

type encodedSize struct {
	Processors   string `json:"processors"`
	Memory       string `json:"memory"`
	Accelerators int32  `json:"accelerators"`
}

// MarshalJSON implements json.Marshaler.
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedSize{s.Processors.String(), s.Memory.String(), s.Accelerators})
}

// UnmarshalJSON implements json.Unmarshaler. It ignores unknown fields;
// ParseSubmission, which parses requests, rejects them.
func (s *Size) UnmarshalJSON(data []byte) error {
	var e encodedSize
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	processors, err := units.ParseMillicores(e.Processors)
	if err != nil {
		return err
	}
	memory, err := units.ParseBytes(e.Memory)
	if err != nil {
		return err
	}
	*s = Size{processors, memory, e.Accelerators}
	return nil
}

// Submission is the request to run a job.
type Submission struct {
	Key      string // idempotency key within the team
	Team     units.TeamName
	Name     string
	Kind     units.JobKind // groups jobs for the estimates of sizes and run times; Name when omitted
	Priority units.Priority
	Tasks    int
	Size     units.Resources // of each task
	RunTime  time.Duration   // run time of each task as declared by the team
}

// Job is the state of a job.
type Job struct {
	ID        units.JobID    `json:"id"`
	Team      units.TeamName `json:"team"`
	Name      string         `json:"name"`
	Kind      units.JobKind  `json:"kind"`
	Priority  string         `json:"priority"`
	Size      Size           `json:"size"`
	Submitted time.Time      `json:"submitted"` // for display only
	State     string         `json:"state"`     // pending, running, completed, failed or cancelled
	Reason    string         `json:"reason,omitempty"`
	Tasks     TaskCounts     `json:"tasks"`
	Details   []Task         `json:"details,omitempty"` // only in the replies for a single job
}

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Total     int `json:"total"`
	Pending   int `json:"pending"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Task is the state of one task.
type Task struct {
	Index      uint32         `json:"index"`
	State      string         `json:"state"`
	Attempt    units.Attempt  `json:"attempt"`
	Worker     units.WorkerID `json:"worker,omitempty"`
	Failures   int            `json:"failures"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	Reason     string         `json:"reason,omitempty"` // why the task is pending, was released or failed
}

// Worker is the state of a worker.
type Worker struct {
	ID            units.WorkerID   `json:"id"`
	Epoch         units.Epoch      `json:"epoch"`
	FailureDomain units.DomainName `json:"failureDomain"`
	Rack          units.RackName   `json:"rack"`
	Region        units.RegionName `json:"region"`
	State         string           `json:"state"`            // ready, silent, drained, backoff, expired or left
	Lessor        units.WorkerID   `json:"lessor,omitempty"` // worker whose agent grants this one's lease
	Capacity      Size             `json:"capacity"`
	Committed     Size             `json:"committed"` // reserved for tasks and endpoints
	Running       int              `json:"running"`   // number of running tasks
	Endpoints     []Endpoint       `json:"endpoints"`
}

// Endpoint is the state of an endpoint on the machine of a worker.
type Endpoint struct {
	Service units.ServiceName `json:"service"`
	State   string            `json:"state"` // ready, leaving, gone or ejected
	Slots   int               `json:"slots"`
	Busy    int               `json:"busy"`   // slots in use
	Queued  int               `json:"queued"` // requests that wait for a slot
}

// Entry is the state of an entry process.
type Entry struct {
	ID            units.EntryID    `json:"id"`
	FailureDomain units.DomainName `json:"failureDomain"`
	Region        units.RegionName `json:"region"`
	LinkAddress   string           `json:"linkAddress"`
	Live          bool             `json:"live"`
	Answering     bool             `json:"answering"` // whether it is the process that sent this reply
}

// Team is a team with its quota and usage.
type Team struct {
	Name      units.TeamName `json:"name"`
	Quota     Size           `json:"quota"`
	Used      Size           `json:"used"` // reserved for its running work
	MayBorrow bool           `json:"mayBorrow"`
	Pending   int            `json:"pending"` // number of pending tasks
}
