package soak

import (
	"slices"

	"wasabihill.example/wasabihill/internal/standin/callers"
)

// Catalog names the kinds of faults from which a schedule is drawn. The schedule of a seed
// depends on the kinds and on their order, so new kinds go into a catalog of their own.
type Catalog string

// The catalogs.
const (
	StandardFaults Catalog = ""        // the kinds of faults.go
	MachineFaults  Catalog = "machine" // those, and what only real machines and networks do
	SilenceFaults  Catalog = "silence" // the standard ones, and connections that fall silent
)

var catalogs = []Catalog{StandardFaults, MachineFaults, SilenceFaults}

// kinds returns the kinds of faults of the catalog.
func (c Catalog) kinds() []faultKind {
	switch c {
	case MachineFaults:
		return slices.Concat(faultKinds, networkFaultKinds, runnerFaultKinds)
	case SilenceFaults:
		return slices.Concat(faultKinds, silenceFaultKinds)
	}
	return faultKinds
}

// templates returns the kinds of jobs. Most runs that end with their lease are long ones.
func (c Catalog) templates() []jobTemplate {
	if c != MachineFaults {
		return jobTemplates
	}
	return append(slices.Clone(jobTemplates), jobTemplate{"runs", 1, callers.Job{Spec: longSpec, Steps: []callers.Step{{Tasks: 2}}}})
}
