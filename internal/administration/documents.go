// Every edit of a document is a publication that replaces a specific base version, so
// that concurrent edits can't silently undo each other.

package administration

import (
	"errors"
	"fmt"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func showDocument(r *request) (any, error) {
	version, err := r.versionParameter("version")
	if err != nil {
		return nil, err
	}
	return r.config.Backend.Document(r.http.Context(), r.environment(), version)
}

func showHistory(r *request) (any, error) {
	limit, err := r.limitParameter(20, 1000)
	if err != nil {
		return nil, err
	}
	list, err := r.config.Backend.History(r.http.Context(), r.environment(), limit)
	return orEmpty(list), err
}

func compareVersions(r *request) (any, error) {
	from, err := r.parsedDocument("from")
	if err != nil {
		return nil, err
	}
	to, err := r.parsedDocument("to")
	if err != nil {
		return nil, err
	}
	return orEmpty(environment.Compare(from, to)), nil
}

func (r *request) parsedDocument(name string) (*environment.Document, error) {
	version, err := r.versionParameter(name)
	if err != nil {
		return nil, err
	}
	found, err := r.config.Backend.Document(r.http.Context(), r.environment(), version)
	if err != nil {
		return nil, err
	}
	return parsePublished(found)
}

// parsePublished parses a published version. Its text was checked before it was
// published, so a failure has KindInternal.
func parsePublished(d administration.Document) (*environment.Document, error) {
	parsed, err := environment.Parse("published", []byte(d.Text))
	if err != nil {
		return nil, &administration.Error{Kind: administration.KindInternal,
			Message: fmt.Sprintf("version %d of environment %q cannot be parsed", d.Version, d.Environment), Err: err}
	}
	return parsed, nil
}

// currentDocument returns the document in force and its parsed form, or version 0 and
// nil if there is none yet.
func (r *request) currentDocument(env units.EnvironmentName) (administration.Document, *environment.Document, error) {
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

// parseAgainst parses a text that is to replace the current document. An invalid text
// is not an error: its problems are in the second result.
func (r *request) parseAgainst(file string, text []byte, current *environment.Document) (*environment.Document, []environment.Problem, error) {
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
	file, err := r.textParameter("file", "document")
	if err != nil {
		return nil, err
	}
	found, current, err := r.currentDocument(r.environment())
	if err != nil {
		return nil, err
	}
	parsed, problems, err := r.parseAgainst(file, r.body, current)
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
	if err := r.requireBase(); err != nil {
		return nil, err
	}
	return r.publishText(r.body)
}

// requireBase returns an error if the query has no base: version 0, the default of
// versionParameter, would mean a first publication.
func (r *request) requireBase() error {
	if r.http.URL.Query().Get("base") == "" {
		return administration.Errorf(administration.KindInvalid, "query base: missing; want the version that is replaced, 0 for none")
	}
	return nil
}

// publishText checks a text and publishes it on the base version in the query.
func (r *request) publishText(text []byte) (any, error) {
	base, err := r.versionParameter("base")
	if err != nil {
		return nil, err
	}
	file, err := r.textParameter("file", "document")
	if err != nil {
		return nil, err
	}
	_, current, err := r.currentDocument(r.environment())
	if err != nil {
		return nil, err
	}
	return r.publish(file, text, base, current)
}

func (r *request) publish(file string, text []byte, base units.Offset, current *environment.Document) (any, error) {
	author, err := r.textParameter("author", "operator")
	if err != nil {
		return nil, err
	}
	parsed, problems, err := r.parseAgainst(file, text, current)
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
	if err := r.requireBase(); err != nil {
		return nil, err
	}
	version, err := r.versionParameter("version")
	if err != nil {
		return nil, err
	}
	source, err := r.config.Backend.Document(r.http.Context(), from, version)
	if err != nil {
		return nil, err
	}
	base, err := r.baseDocument()
	if err != nil {
		return nil, err
	}
	text, err := promotedText([]byte(source.Text), r.environment(), base)
	if err != nil {
		return nil, editError(err)
	}
	return r.publishText(text)
}

// baseDocument returns the document of the base version in the query, or nil for
// version 0. The version in force can't be used instead: in a process that lags behind
// the log it can be older than the base.
func (r *request) baseDocument() (*environment.Document, error) {
	version, err := r.versionParameter("base")
	if err != nil || version == 0 {
		return nil, err
	}
	found, err := r.config.Backend.Document(r.http.Context(), r.environment(), version)
	if administration.KindOf(err) == administration.KindNotFound {
		current, _, err := r.currentDocument(r.environment())
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

// promotedText returns the text for another environment. It keeps the states of
// failure domains and the drained workers of the target: a promotion must not return a
// failure domain to service. If target is nil, the source's are used.
func promotedText(text []byte, to units.EnvironmentName, target *environment.Document) ([]byte, error) {
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

// maxEditAttempts limits the attempts to apply an edit of one field to the newest
// version while other operators publish first.
const maxEditAttempts = 5

// editCurrent applies a change of one field to the current document. The change does
// not depend on the rest of the document, so after a lost race it is applied to the
// version that was published first. Every attempt has the key of the request, so that
// a repeated request finds the attempt that was published.
func (r *request) editCurrent(change func(text []byte) ([]byte, error)) (any, error) {
	var lostRace error
	for range maxEditAttempts {
		found, current, err := r.currentDocument(r.environment())
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
		lostRace = err
	}
	return nil, lostRace
}

// editError converts an error of package environment to an error of the API.
func editError(err error) error {
	kind := administration.KindInvalid
	if fault.Is(err, environment.KindNotFound) {
		kind = administration.KindNotFound
	}
	message := err.Error()
	var cause *environment.Error
	if errors.As(err, &cause) {
		message = cause.Err.Error() // omits the operation, an internal name
	}
	return &administration.Error{Kind: kind, Message: message, Details: administration.Details{Problems: environment.Problems(err)}, Err: err}
}

func setDomainState(r *request) (any, error) {
	state := environment.DomainState(r.http.PathValue("state"))
	domain := units.DomainName(r.http.PathValue("domain"))
	return r.editCurrent(func(text []byte) ([]byte, error) { return environment.SetDomainState(text, domain, state) })
}

// drainVerbs maps the last element of the path to the desired state.
var drainVerbs = map[string]bool{"drain": true, "undrain": false}

func setDrained(r *request) (any, error) {
	drained, ok := drainVerbs[r.http.PathValue("verb")]
	if !ok {
		return nil, administration.Errorf(administration.KindNotFound, "unknown action %q on a worker; want drain or undrain", r.http.PathValue("verb"))
	}
	worker := units.WorkerID(r.http.PathValue("worker"))
	if drained && r.environment() == r.config.Environment {
		if err := r.checkWorkerExists(worker); err != nil {
			return nil, err
		}
	}
	return r.editCurrent(func(text []byte) ([]byte, error) { return environment.SetDrained(text, worker, drained) })
}

// checkWorkerExists returns an error for an unknown worker: draining a misspelt name
// would have no effect.
func (r *request) checkWorkerExists(worker units.WorkerID) error {
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

// orEmpty replaces a nil slice, so that it is encoded as [] instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
