package roster

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"wasabihill.example/wasabihill/pkg/units"
)

// Place is where a worker is.
type Location struct {
	Domain units.DomainName
	Rack   units.RackName
	Region units.RegionName
}

// distance ranks how likely a lessor at p shares the fate of a lessee at o:
// lower is better. Another region comes late, because a partition between
// regions would end the lease of a healthy worker.
func (p Location) lessorRank(o Location) int {
	switch {
	case p.Region == o.Region && p.Domain != o.Domain:
		return 0
	case p.Domain == o.Domain && p.Region == o.Region && p.Rack != o.Rack:
		return 1
	case p.Region != o.Region:
		return 2
	}
	return 3 // same rack
}

// ring orders ids by hash, so that ties fall on different lessors.
func pairHash(a, b units.WorkerID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}

// candidate is a possible lessor with the order of preference.
type lessorCandidate struct {
	holder   WorkerEpoch
	mutual   int // 1 when it is a lessee of the worker: neither could expire the other
	distance int
	lessees  int
	hash     uint64
}

func (c lessorCandidate) compare(o lessorCandidate) int {
	return cmp.Or(cmp.Compare(c.mutual, o.mutual), cmp.Compare(c.distance, o.distance), cmp.Compare(c.lessees, o.lessees),
		cmp.Compare(c.hash, o.hash), cmp.Compare(c.holder.Worker, o.holder.Worker))
}

// ChooseLessor returns the lessor for a worker at a place: in force, not the
// worker itself, not rejected by usable (nil accepts all), in another failure
// domain of the region first, then in another rack, then in another region,
// with the fewest lessees. Two workers become each other's lessor only when
// there is no other choice. The worker need not be registered.
func (r *Roster) ChooseLessor(id units.WorkerID, at Location, usable func(WorkerEpoch) bool) (WorkerEpoch, bool) {
	var best lessorCandidate
	found := false
	for _, w := range r.workers {
		if w.ID == id || !w.Active() || (usable != nil && !usable(w.WorkerEpoch())) {
			continue
		}
		c := lessorCandidate{holder: w.WorkerEpoch(), distance: at.lessorRank(Location{w.Domain, w.Rack, w.Region}),
			lessees: len(r.lessees[w.WorkerEpoch()]), hash: pairHash(id, w.ID)}
		if w.Lessor.Worker == id {
			c.mutual = 1
		}
		if !found || c.compare(best) < 0 {
			best, found = c, true
		}
	}
	return best.holder, found
}

// Owner returns the entry that owns the key by rendezvous hashing, or "" when
// there is none. When an entry joins or leaves, only its own keys move.
func RendezvousOwner(key string, entries []units.EntryID) units.EntryID {
	var best units.EntryID
	var top uint64
	k := xxhash.Sum64String(key)
	for _, e := range entries {
		h := mixBits(k ^ xxhash.Sum64String(string(e)))
		if best == "" || h > top || (h == top && e < best) {
			best, top = e, h
		}
	}
	return best
}

// mix spreads the bits of two combined hashes (finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
