package dispatch

import (
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// teamRow is a team with work during one tick.
type teamRow struct {
	name      units.TeamName
	quota     units.Resources
	mayBorrow bool
	used      [units.PriorityUrgent + 1]units.Resources // open attempts and proposals in flight, by priority
	share     float64                                   // dominant share of the quota
	cursors   [units.PriorityUrgent + 1]cursor
}

// cursor is the place in a team's queue of one priority.
type cursor struct {
	job, task int
	misses    int
	done      bool
}

// buildTeams makes a row for every team that has jobs, sorted by name.
func (d *Dispatcher) buildTeamRows() {
	d.teams = d.teams[:0]
	for _, name := range d.input.Ledger.Teams() {
		t := d.policy.teams[name] // unknown: no quota, so its work waits
		row := teamRow{name: name, quota: t.Quota, mayBorrow: t.MayBorrow, used: d.input.Ledger.TeamUsage(name)}
		d.teams = append(d.teams, row)
	}
	for _, f := range d.inFlight {
		if t := d.findTeam(f.team); t != nil {
			t.used[f.priority] = t.used[f.priority].Add(f.size)
		}
	}
	for i := range d.teams {
		d.teams[i].share = dominantShare(d.teams[i].usageFrom(units.PriorityLow), d.teams[i].quota)
	}
}

func (d *Dispatcher) findTeam(name units.TeamName) *teamRow {
	for i := range d.teams {
		if d.teams[i].name == name {
			return &d.teams[i]
		}
	}
	return nil
}

// charge adds a proposed attempt to the team's use.
func (t *teamRow) addUsage(size units.Resources, p units.Priority) {
	t.used[p] = t.used[p].Add(size)
	t.share = dominantShare(t.usageFrom(units.PriorityLow), t.quota)
}

// total is what the team's work of a priority and above uses.
func (t *teamRow) usageFrom(least units.Priority) units.Resources {
	var sum units.Resources
	for p := least; p <= units.PriorityUrgent; p++ {
		sum = sum.Add(t.used[p])
	}
	return sum
}

// within reports whether the size fits the quota beside the team's other work
// of that priority and above. Lower work does not count, so that a team's
// borrowed work cannot push its own urgent work over the quota.
func (t *teamRow) withinQuota(size units.Resources, p units.Priority) bool {
	return t.usageFrom(p).Add(size).Fits(t.quota)
}

// dominantShare is the largest used fraction of the quota in any dimension. A
// dimension that is used without any quota counts as far over.
func dominantShare(used, quota units.Resources) float64 {
	share := 0.0
	for _, d := range [...][2]float64{
		{float64(used.Processors), float64(quota.Processors)},
		{float64(used.Memory), float64(quota.Memory)},
		{float64(used.Accelerators), float64(quota.Accelerators)},
	} {
		switch {
		case d[0] <= 0:
		case d[1] <= 0:
			share = max(share, 1e6)
		default:
			share = max(share, d[0]/d[1])
		}
	}
	return share
}

// neverWithin reports whether a single task exceeds the quota of a team that
// may not borrow, so that it could never run.
func alwaysOverQuota(size units.Resources, t environment.Team) bool {
	return !t.MayBorrow && !size.Fits(t.Quota)
}
