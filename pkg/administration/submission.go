// The client and the entry process parse jobs with the same table of fields.

package administration

import (
	"encoding/json"
	"errors"
	"time"

	"wasabihill.example/wasabihill/internal/strictjson"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// MaxTasks is the maximum number of tasks in one job. At the target load of 13,000
// jobs a day and 980 task starts/s no job needs more, and the record of a job's state
// stays small.
const MaxTasks = 10_000

// submissionFields defines the format of a job file.
var submissionFields = []strictjson.Field[Submission]{
	{Name: "team", Type: "name", Purpose: "team that owns the job; the token's team when omitted",
		Read: func(s *Submission, n strictjson.Node) { s.Team = units.TeamName(n.Name()) }},
	{Name: "name", Type: "name", Required: true, Purpose: "name shown to people; need not be unique",
		Read: func(s *Submission, n strictjson.Node) { s.Name = n.Name() }},
	{Name: "kind", Type: "name", Purpose: "jobs of one kind share learned sizes and run times; `name` when omitted",
		Read: func(s *Submission, n strictjson.Node) { s.Kind = units.JobKind(n.Name()) }},
	{Name: "priority", Type: "low, normal, high or urgent", Purpose: "rank against other work; normal when omitted",
		Read: func(s *Submission, n strictjson.Node) { s.Priority = n.Priority() }},
	{Name: "tasks", Type: "whole number", Purpose: "number of equal tasks, 1 to 10000; 1 when omitted",
		Read: func(s *Submission, n strictjson.Node) { s.Tasks = int(n.Int(1, MaxTasks)) }},
	{Name: "size", Type: "object", Required: true, Purpose: "resources that each task needs",
		Read:   func(s *Submission, n strictjson.Node) { strictjson.Object(n, &s.Size, strictjson.ResourceFields) },
		Nested: func(prefix string) []strictjson.Row { return strictjson.Rows(prefix, strictjson.ResourceFields) }},
	{Name: "runTime", Type: "duration", Required: true, Purpose: "how long a task is expected to run; positive",
		Read: func(s *Submission, n strictjson.Node) { s.RunTime = n.Duration() }},
}

// SubmissionReference lists every field of a job file, for the reference manual.
func SubmissionReference() []strictjson.Row { return strictjson.Rows("", submissionFields) }

// ParseSubmission parses and checks a job in JSON with comments. name is the file
// name in the problems, and owner is the team of a job that specifies none. If
// document is not nil, the team and the size are checked against it. The error is an
// *Error with KindInvalid that lists every problem. It is safe for concurrent use.
func ParseSubmission(name string, data []byte, owner units.TeamName, document *environment.Document) (Submission, error) {
	s := Submission{Team: owner, Tasks: 1, Priority: units.PriorityNormal}
	reader, root := strictjson.Parse(name, data)
	if root.Valid() {
		strictjson.Object(root, &s, submissionFields)
		strictjson.CheckPositive("size", s.Size, reader.Report)
		if s.RunTime < time.Millisecond {
			reader.Report("runTime", "got %v; want at least 1ms", s.RunTime)
		}
		if document != nil {
			if s.Team == "" {
				reader.Report("team", "missing; want the team that owns the job")
			} else if document.Team(s.Team) == nil {
				reader.Report("team", "unknown team %q", s.Team)
			}
			for _, p := range document.CheckSize("size", s.Size) {
				reader.Report(p.Field, "%s", p.Message)
			}
			if t := document.Team(s.Team); t != nil && !t.MayBorrow && !s.Size.Fits(t.Quota) {
				reader.Report("size", "a task of %v can never run: team %q may not borrow and its quota is %v", s.Size, t.Name, t.Quota)
			}
		}
	}
	if s.Kind == "" {
		s.Kind = units.JobKind(s.Name)
	}
	if err := reader.Err(); err != nil {
		var ps strictjson.Problems
		errors.As(err, &ps)
		return Submission{}, &Error{Op: "read job", Kind: KindInvalid, Message: "the job is not valid", Details: Details{Problems: ps}}
	}
	return s, nil
}

// EncodeSubmission returns the job in the format of ParseSubmission, with its run
// time rounded to milliseconds. The key is not included.
func EncodeSubmission(s Submission) []byte {
	body, err := json.Marshal(struct {
		Team     units.TeamName `json:"team,omitempty"`
		Name     string         `json:"name"`
		Kind     units.JobKind  `json:"kind,omitempty"`
		Priority string         `json:"priority"`
		Tasks    int            `json:"tasks"`
		Size     Size           `json:"size"`
		RunTime  string         `json:"runTime"`
	}{s.Team, s.Name, s.Kind, s.Priority.String(), s.Tasks, Size(s.Size), s.RunTime.Round(time.Millisecond).String()})
	if err != nil {
		panic("administration: encode job: " + err.Error()) // cannot happen: strings and numbers always encode
	}
	return body
}
