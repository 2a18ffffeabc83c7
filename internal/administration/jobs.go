// Jobs belong to teams: a team sees and cancels only its own.

package administration

import (
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func isNotFound(err error) bool { return fault.Is(err, environment.KindNotFound) }

func submitJob(r *request) (any, error) {
	file, err := r.label("file", "job")
	if err != nil {
		return nil, err
	}
	_, document, err := r.current(r.config.Environment)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, administration.Errorf(administration.KindInvalid, "environment %q has no document, so it has no teams", r.config.Environment)
	}
	s, err := administration.ParseSubmission(file, r.body, r.who.team, document)
	if err != nil {
		return nil, err
	}
	if !r.who.mayUse(s.Team) {
		return nil, administration.Errorf(administration.KindForbidden, "the token belongs to team %q, the job to team %q", r.who.team, s.Team)
	}
	s.Key = r.key
	return r.config.Backend.Submit(r.http.Context(), s)
}

func (p principal) mayUse(team units.TeamName) bool { return p.operator || p.team == team }

// jobStates are the values of the filter.
var jobStates = map[string]bool{"": true, "pending": true, "running": true, "completed": true, "failed": true, "cancelled": true}

func listJobs(r *request) (any, error) {
	limit, err := r.limit(100, 10_000)
	if err != nil {
		return nil, err
	}
	query := r.http.URL.Query()
	f := administration.JobFilter{Team: units.TeamName(query.Get("team")), State: query.Get("state"), Limit: limit}
	if !jobStates[f.State] {
		return nil, administration.Errorf(administration.KindInvalid, "query state: got %q; want pending, running, completed, failed or cancelled", f.State)
	}
	if !r.who.operator {
		if f.Team != "" && f.Team != r.who.team {
			return nil, administration.Errorf(administration.KindForbidden, "the token belongs to team %q", r.who.team)
		}
		f.Team = r.who.team
	}
	list, err := r.config.Backend.Jobs(r.http.Context(), f)
	return orEmpty(list), err
}

// ownJob returns the job in the path. A team gets the same answer for another
// team's job as for none, so that ids reveal nothing.
func (r *request) ownJob() (administration.Job, error) {
	id := units.JobID(r.http.PathValue("job"))
	job, err := r.config.Backend.Job(r.http.Context(), id)
	if administration.KindOf(err) == administration.KindNotFound || err == nil && !r.who.mayUse(job.Team) {
		return administration.Job{}, administration.Errorf(administration.KindNotFound, "no job %q", id)
	}
	return job, err
}

func showJob(r *request) (any, error) { return r.ownJob() }

func cancelJob(r *request) (any, error) {
	otherwise := "cancelled by operator"
	if !r.who.operator {
		otherwise = "cancelled by team " + string(r.who.team)
	}
	reason, err := r.label("reason", otherwise)
	if err != nil {
		return nil, err
	}
	job, err := r.ownJob()
	if err != nil {
		return nil, err
	}
	return r.config.Backend.Cancel(r.http.Context(), job.ID, reason)
}
