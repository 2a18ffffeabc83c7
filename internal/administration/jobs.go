// Jobs belong to teams: a team can see and cancel only its own.

package administration

import (
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

func submitJob(r *request) (any, error) {
	file, err := r.textParameter("file", "job")
	if err != nil {
		return nil, err
	}
	_, document, err := r.currentDocument(r.config.Environment)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, administration.Errorf(administration.KindInvalid, "environment %q has no document, so it has no teams", r.config.Environment)
	}
	s, err := administration.ParseSubmission(file, r.body, r.principal.team, document)
	if err != nil {
		return nil, err
	}
	if !r.principal.mayAccess(s.Team) {
		return nil, administration.Errorf(administration.KindForbidden, "the token belongs to team %q, the job to team %q", r.principal.team, s.Team)
	}
	s.Key = r.key
	return r.config.Backend.Submit(r.http.Context(), s)
}

func (p principal) mayAccess(team units.TeamName) bool { return p.operator || p.team == team }

// jobStates holds the valid values of the state filter.
var jobStates = map[string]bool{"": true, "pending": true, "running": true, "completed": true, "failed": true, "cancelled": true}

func listJobs(r *request) (any, error) {
	limit, err := r.limitParameter(100, 10_000)
	if err != nil {
		return nil, err
	}
	query := r.http.URL.Query()
	f := administration.JobFilter{Team: units.TeamName(query.Get("team")), State: query.Get("state"), Limit: limit}
	if !jobStates[f.State] {
		return nil, administration.Errorf(administration.KindInvalid, "query state: got %q; want pending, running, completed, failed or cancelled", f.State)
	}
	if !r.principal.operator {
		if f.Team != "" && f.Team != r.principal.team {
			return nil, administration.Errorf(administration.KindForbidden, "the token belongs to team %q", r.principal.team)
		}
		f.Team = r.principal.team
	}
	list, err := r.config.Backend.Jobs(r.http.Context(), f)
	return orEmpty(list), err
}

// accessibleJob returns the job in the path. For another team's job it returns the same
// error as for a job that doesn't exist, so that a team can't find out the ids of
// other teams' jobs.
func (r *request) accessibleJob() (administration.Job, error) {
	id := units.JobID(r.http.PathValue("job"))
	job, err := r.config.Backend.Job(r.http.Context(), id)
	if administration.KindOf(err) == administration.KindNotFound || err == nil && !r.principal.mayAccess(job.Team) {
		return administration.Job{}, administration.Errorf(administration.KindNotFound, "no job %q", id)
	}
	return job, err
}

func showJob(r *request) (any, error) { return r.accessibleJob() }

func cancelJob(r *request) (any, error) {
	defaultReason := "cancelled by operator"
	if !r.principal.operator {
		defaultReason = "cancelled by team " + string(r.principal.team)
	}
	reason, err := r.textParameter("reason", defaultReason)
	if err != nil {
		return nil, err
	}
	job, err := r.accessibleJob()
	if err != nil {
		return nil, err
	}
	return r.config.Backend.Cancel(r.http.Context(), job.ID, reason)
}
