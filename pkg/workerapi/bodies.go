// The JSON bodies of the protocol and their conversion from and to the types of the
// interface. Clock readings and durations are sent in whole milliseconds.

package workerapi

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// milliseconds is the JSON encoding of clock readings and durations.
type milliseconds int64

func millisecondsOf(c Clock) milliseconds { return milliseconds(time.Duration(c).Milliseconds()) }

func durationMilliseconds(d time.Duration) milliseconds { return milliseconds(d.Milliseconds()) }

func (m milliseconds) clock() Clock { return Clock(m.duration()) }

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

type resourcesBody struct {
	Processors   units.Millicores `json:"processors"`
	Memory       units.Bytes      `json:"memory"`
	Accelerators int32            `json:"accelerators"`
}

func resourcesBodyOf(r units.Resources) resourcesBody {
	return resourcesBody{r.Processors, r.Memory, r.Accelerators}
}

func (b resourcesBody) resources() units.Resources {
	return units.Resources{Processors: b.Processors, Memory: b.Memory, Accelerators: b.Accelerators}
}

type holdBody struct {
	Holder string `json:"holder"`
}

type holderBody struct {
	Epoch    units.Epoch   `json:"epoch"`
	Clock    milliseconds  `json:"clock"`
	Capacity resourcesBody `json:"capacity"`
}

type clockBody struct {
	Clock milliseconds `json:"clock"`
}

type renewBody struct {
	Epoch      units.Epoch  `json:"epoch"`
	Tasks      []string     `json:"tasks"`
	LeaseUntil milliseconds `json:"leaseUntil"`
}

type commandBody struct {
	Epoch   units.Epoch   `json:"epoch"`
	Attempt units.Attempt `json:"attempt"`
	As      units.Attempt `json:"as,omitempty"`
	Share   float64       `json:"share,omitempty"`
	Stop    bool          `json:"stop,omitempty"`
}

type checkpointBody struct {
	Checkpoint string `json:"checkpoint"`
}

type errorBody struct {
	Kind  Kind   `json:"kind"`
	Error string `json:"error"`
}

type startBody struct {
	Epoch      units.Epoch   `json:"epoch"`
	Task       string        `json:"task"`
	Attempt    units.Attempt `json:"attempt"`
	Kind       string        `json:"kind"`
	Size       resourcesBody `json:"size"`
	RunTime    milliseconds  `json:"runTime"`
	LeaseUntil milliseconds  `json:"leaseUntil"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Standby    bool          `json:"standby,omitempty"`
	Label      string        `json:"label,omitempty"`
}

func startBodyOf(r StartRequest) startBody {
	return startBody{
		Epoch: r.Epoch, Task: r.Task.String(), Attempt: r.Attempt, Kind: r.Kind,
		Size: resourcesBodyOf(r.Size), RunTime: durationMilliseconds(r.RunTime),
		LeaseUntil: millisecondsOf(r.LeaseUntil), Checkpoint: r.Checkpoint,
		Standby: r.Standby, Label: r.Label,
	}
}

func (b startBody) request() (StartRequest, error) {
	task, err := units.ParseTask(b.Task)
	return StartRequest{
		Epoch: b.Epoch, Task: task, Attempt: b.Attempt, Kind: b.Kind,
		Size: b.Size.resources(), RunTime: b.RunTime.duration(),
		LeaseUntil: b.LeaseUntil.clock(), Checkpoint: b.Checkpoint,
		Standby: b.Standby, Label: b.Label,
	}, err
}

type taskBody struct {
	Task       string        `json:"task"`
	Attempt    units.Attempt `json:"attempt"`
	Kind       string        `json:"kind"`
	State      TaskState     `json:"state"`
	Size       resourcesBody `json:"size"`
	LeaseUntil milliseconds  `json:"leaseUntil"`
	Throttle   float64       `json:"throttle"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Reason     string        `json:"exit,omitempty"`
	Ran        milliseconds  `json:"ran"`
	Usage      resourcesBody `json:"usage"`
	UsageAge   milliseconds  `json:"usageAge"`
	Label      string        `json:"label,omitempty"`
}

type tableBody struct {
	Epoch units.Epoch  `json:"epoch"`
	Clock milliseconds `json:"clock"`
	Tasks []taskBody   `json:"tasks"`
}

func tableBodyOf(t Table) tableBody {
	body := tableBody{Epoch: t.Epoch, Clock: millisecondsOf(t.Clock), Tasks: make([]taskBody, len(t.Tasks))}
	for i, row := range t.Tasks {
		body.Tasks[i] = taskBody{
			Task: row.Task.String(), Attempt: row.Attempt, Kind: row.Kind, State: row.State,
			Size: resourcesBodyOf(row.Size), LeaseUntil: millisecondsOf(row.LeaseUntil),
			Throttle: row.Throttle, Checkpoint: row.Checkpoint, Reason: row.Reason,
			Ran: durationMilliseconds(row.Ran), Usage: resourcesBodyOf(row.Usage),
			UsageAge: durationMilliseconds(row.UsageAge), Label: row.Label,
		}
	}
	return body
}

func (b tableBody) table() (Table, error) {
	table := Table{Epoch: b.Epoch, Clock: b.Clock.clock(), Tasks: make([]Task, len(b.Tasks))}
	for i, row := range b.Tasks {
		task, err := units.ParseTask(row.Task)
		if err != nil {
			return Table{}, err
		}
		table.Tasks[i] = Task{
			Task: task, Attempt: row.Attempt, Kind: row.Kind, State: row.State,
			Size: row.Size.resources(), LeaseUntil: row.LeaseUntil.clock(),
			Throttle: row.Throttle, Checkpoint: row.Checkpoint, Reason: row.Reason,
			Ran: row.Ran.duration(), Usage: row.Usage.resources(),
			UsageAge: row.UsageAge.duration(), Label: row.Label,
		}
	}
	return table, nil
}
