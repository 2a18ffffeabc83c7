package dispatch

import (
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// teamRow is the working copy of a team with jobs during one tick.
type teamRow struct {
	name      units.TeamName
	quota     units.Resources
	mayBorrow bool
	used      [units.PriorityUrgent + 1]units.Resources // by open attempts and in-flight proposals of each priority
	share     float64                                   // dominant share of the quota
	cursors   [units.PriorityUrgent + 1]cursor
}

// cursor is the position of a walk in a team's queue of one priority.
type cursor struct {
	job, task int
	misses    int // tasks for which no worker was found
	done      bool
}

// buildTeamRows creates a row for every team that has jobs, sorted by name.
func (d *Dispatcher) buildTeamRows() {
	d.teams = d.teams[:0]
	for _, name := range d.in.Ledger.Teams() {
		t := d.policy.teams[name] // a team that is not in the document has no quota, so its tasks wait
		row := teamRow{name: name, quota: t.Quota, mayBorrow: t.MayBorrow, used: d.in.Ledger.TeamUsage(name)}
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

// addUsage adds a proposed attempt to the team's usage.
func (t *teamRow) addUsage(size units.Resources, p units.Priority) {
	t.used[p] = t.used[p].Add(size)
	t.share = dominantShare(t.usageFrom(units.PriorityLow), t.quota)
}

// usageFrom returns the usage of the team's tasks of the given priority and above.
func (t *teamRow) usageFrom(least units.Priority) units.Resources {
	var sum units.Resources
	for p := least; p <= units.PriorityUrgent; p++ {
		sum = sum.Add(t.used[p])
	}
	return sum
}

// withinQuota reports whether the size fits the quota together with the team's
// other tasks of that priority and above. Lower priorities do not count, so that
// a team's borrowed tasks cannot push its urgent tasks over the quota.
func (t *teamRow) withinQuota(size units.Resources, p units.Priority) bool {
	return t.usageFrom(p).Add(size).Fits(t.quota)
}

// dominantShare returns the largest used fraction of the quota in any dimension.
// Usage of a dimension without quota counts as far above it.
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

// alwaysOverQuota reports whether a single task exceeds the quota of a team that
// may not borrow, so that it can never run.
func alwaysOverQuota(size units.Resources, t environment.Team) bool {
	return !t.MayBorrow && !size.Fits(t.Quota)
}
