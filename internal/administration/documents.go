// Every edit of a document is a publication on a base version, so that operators
// who race each other cannot undo an edit unseen.

package administration

import (
	"errors"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func showDocument(r *request) (any, error) {
	version, err := r.version("version")
	if err != nil {
		return nil, err
	}
	return r.config.Backend.Document(r.http.Context(), r.environment(), version)
}

func showHistory(r *request) (any, error) {
	limit, err := r.limit(20, 1000)
	if err != nil {
		return nil, err
	}
	list, err := r.config.Backend.History(r.http.Context(), r.environment(), limit)
	return orEmpty(list), err
}

func compareVersions(r *request) (any, error) {
	from, err := r.parsedVersion("from")
	if err != nil {
		return nil, err
	}
	to, err := r.parsedVersion("to")
	if err != nil {
		return nil, err
	}
	return orEmpty(environment.Compare(from, to)), nil
}

func (r *request) parsedVersion(name string) (*environment.Document, error) {
	version, err := r.version(name)
	if err != nil {
		return nil, err
	}
	found, err := r.config.Backend.Document(r.http.Context(), r.environment(), version)
	if err != nil {
		return nil, err
	}
	return parsePublished(found)
}

// parsePublished parses a document that is already in force.
func parsePublished(d administration.Document) (*environment.Document, error) {
	parsed, err := environment.Parse("published", []byte(d.Text))
	if err != nil {
		return nil, &administration.Error{Kind: administration.KindInternal, Message: "the published document does not parse", Err: err}
	}
	return parsed, nil
}

// current returns the document in force, or nil with version 0 if there is
// none yet.
func (r *request) current(env units.EnvironmentName) (administration.Document, *environment.Document, error) {
	found, err := r.config.Backend.Document(r.http.Context(), env, 0)
	if administration.KindOf(err) == administration.KindNotFound {
		return administration.Document{Environment: env}, nil, nil
	}
	if err != nil {
		return found, nil, err
	}
	parsed, err := parsePublished(found)
	return found, parsed, err
}

// examine parses a text that is to follow the current document. An invalid text
// is no error: problems lists why.
func (r *request) examine(file string, text []byte, current *environment.Document) (*environment.Document, []environment.Problem, error) {
	running, err := r.config.Backend.Running(r.http.Context(), r.environment())
	if err != nil {
		return nil, nil, err
	}
	parsed, err := environment.ParseAgainst(file, text, current, running)
	if err != nil {
		return nil, environment.Problems(err), nil
	}
	if parsed.Environment != r.environment() {
		return nil, []environment.Problem{{File: file, Field: "environment",
			Message: "got \"" + string(parsed.Environment) + "\"; want \"" + string(r.environment()) + "\", the environment in the request"}}, nil
	}
	return parsed, nil, nil
}

func checkDocument(r *request) (any, error) {
	file, err := r.label("file", "document")
	if err != nil {
		return nil, err
	}
	found, current, err := r.current(r.environment())
	if err != nil {
		return nil, err
	}
	parsed, problems, err := r.examine(file, r.body, current)
	if err != nil {
		return nil, err
	}
	checked := administration.Checked{Base: found.Version, Problems: orEmpty(problems), Changes: []environment.Change{}}
	if parsed != nil {
		checked.Changes = orEmpty(environment.Compare(current, parsed))
	}
	return checked, nil
}

func publishDocument(r *request) (any, error) {
	if r.http.URL.Query().Get("base") == "" {
		return nil, administration.Errorf(administration.KindInvalid, "query base: missing; want the version that is replaced, 0 for none")
	}
	return r.publishText(r.body)
}

// publishText checks and publishes a text on the base in the query.
func (r *request) publishText(text []byte) (any, error) {
	base, err := r.version("base")
	if err != nil {
		return nil, err
	}
	file, err := r.label("file", "document")
	if err != nil {
		return nil, err
	}
	_, current, err := r.current(r.environment())
	if err != nil {
		return nil, err
	}
	return r.publish(file, text, base, current)
}

func (r *request) publish(file string, text []byte, base units.Offset, current *environment.Document) (any, error) {
	author, err := r.label("author", "operator")
	if err != nil {
		return nil, err
	}
	parsed, problems, err := r.examine(file, text, current)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &administration.Error{Kind: administration.KindInvalid, Message: "the document is not valid",
			Details: administration.Details{Problems: problems}}
	}
	version, err := r.config.Backend.Publish(r.http.Context(), administration.Publication{
		Environment: r.environment(), Key: r.key, Base: base, Author: author, Text: text})
	if err != nil {
		return nil, err
	}
	return administration.Published{Environment: r.environment(), Version: version, Changes: orEmpty(environment.Compare(current, parsed))}, nil
}

func promoteDocument(r *request) (any, error) {
	from := units.EnvironmentName(r.http.URL.Query().Get("from"))
	if from == "" || from == r.environment() {
		return nil, administration.Errorf(administration.KindInvalid, "query from: want the name of another environment")
	}
	if r.http.URL.Query().Get("base") == "" {
		return nil, administration.Errorf(administration.KindInvalid, "query base: missing; want the version that is replaced, 0 for none")
	}
	version, err := r.version("version")
	if err != nil {
		return nil, err
	}
	source, err := r.config.Backend.Document(r.http.Context(), from, version)
	if err != nil {
		return nil, err
	}
	base, err := r.base()
	if err != nil {
		return nil, err
	}
	text, err := promoted([]byte(source.Text), r.environment(), base)
	if err != nil {
		return nil, editError(err)
	}
	return r.publishText(text)
}

// base returns the document of the version in the query, or nil for version 0.
// The version in force would not do: in a process that reads the log late it
// can be older than the base.
func (r *request) base() (*environment.Document, error) {
	version, err := r.version("base")
	if err != nil || version == 0 {
		return nil, err
	}
	found, err := r.config.Backend.Document(r.http.Context(), r.environment(), version)
	if administration.KindOf(err) == administration.KindNotFound {
		current, _, err := r.current(r.environment())
		if err != nil {
			return nil, err
		}
		if current.Version > version {
			return nil, administration.LostRace(current.Version)
		}
		return nil, administration.Errorf(administration.KindInvalid, "query base: there is no version %d; this process has read up to %d", version, current.Version)
	}
	if err != nil {
		return nil, err
	}
	return parsePublished(found)
}

// promoted returns the text for another environment. States of failure domains
// and drained workers stay those of the target: a promotion must not return a
// failure domain to service. target may be nil.
func promoted(text []byte, to units.EnvironmentName, target *environment.Document) ([]byte, error) {
	source, err := environment.Parse("promoted", text)
	if err != nil {
		return nil, err
	}
	if text, err = environment.SetEnvironment(text, to); err != nil || target == nil {
		return text, err
	}
	for _, f := range target.FailureDomains {
		if source.HasDomain(f.Name) {
			if text, err = environment.SetDomainState(text, f.Name, f.State); err != nil {
				return nil, err
			}
		}
	}
	for _, w := range source.DrainedWorkers {
		if text, err = environment.SetDrained(text, w, target.IsDrained(w)); err != nil {
			return nil, err
		}
	}
	for _, w := range target.DrainedWorkers {
		if text, err = environment.SetDrained(text, w, true); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// maxEdits limits how often an edit of one field is repeated on a newer version
// after other operators published first.
const maxEdits = 5

// edit applies a change of one field to the current document. Since the change
// does not depend on the rest of the document, a lost race is repeated on the
// version that won. Every try carries the request's key, so that a repeated
// request finds the try that won.
func (r *request) edit(change func(text []byte) ([]byte, error)) (any, error) {
	var lost error
	for range maxEdits {
		found, current, err := r.current(r.environment())
		if err != nil {
			return nil, err
		}
		if current == nil {
			return nil, administration.Errorf(administration.KindNotFound, "environment %q has no document", r.environment())
		}
		text, err := change([]byte(found.Text))
		if err != nil {
			return nil, editError(err)
		}
		edited, err := environment.Parse("document", text)
		if err != nil {
			return nil, editError(err)
		}
		if len(environment.Compare(current, edited)) == 0 {
			return administration.Published{Environment: r.environment(), Version: found.Version, Changes: []environment.Change{}}, nil
		}
		answer, err := r.publish("document", text, found.Version, current)
		if administration.KindOf(err) != administration.KindLostRace {
			return answer, err
		}
		lost = err
	}
	return nil, lost
}

func editError(err error) error {
	kind := administration.KindInvalid
	if isNotFound(err) {
		kind = administration.KindNotFound
	}
	message := err.Error()
	var cause *environment.Error
	if errors.As(err, &cause) {
		message = cause.Err.Error() // without the names of our functions
	}
	return &administration.Error{Kind: kind, Message: message, Details: administration.Details{Problems: environment.Problems(err)}, Err: err}
}

func setDomainState(r *request) (any, error) {
	state := environment.DomainState(r.http.PathValue("state"))
	domain := units.DomainName(r.http.PathValue("domain"))
	return r.edit(func(text []byte) ([]byte, error) { return environment.SetDomainState(text, domain, state) })
}

// drainVerbs maps the last element of the path to the wanted state.
var drainVerbs = map[string]bool{"drain": true, "undrain": false}

func setDrained(r *request) (any, error) {
	drained, ok := drainVerbs[r.http.PathValue("verb")]
	if !ok {
		return nil, administration.Errorf(administration.KindNotFound, "want drain or undrain")
	}
	worker := units.WorkerID(r.http.PathValue("worker"))
	if drained && r.environment() == r.config.Environment {
		if err := r.knownWorker(worker); err != nil {
			return nil, err
		}
	}
	return r.edit(func(text []byte) ([]byte, error) { return environment.SetDrained(text, worker, drained) })
}

// knownWorker refuses a misspelt worker, whose drain would do nothing.
func (r *request) knownWorker(worker units.WorkerID) error {
	workers, err := r.config.Backend.Workers(r.http.Context())
	if err != nil {
		return err
	}
	for _, w := range workers {
		if w.ID == worker {
			return nil
		}
	}
	return administration.Errorf(administration.KindNotFound, "unknown worker %q", worker)
}

// orEmpty makes a nil slice encode as [] instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
