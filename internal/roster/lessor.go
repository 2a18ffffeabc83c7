package roster

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"wasabihill.example/wasabihill/pkg/units"
)

// Location is the location of a worker.
type Location struct {
	Domain units.DomainName
	Rack   units.RackName
	Region units.RegionName
}

// lessorRank ranks o as the location of a lessor for a lessee at l by the risk that
// both fail together; lower is better. Another region ranks after another rack,
// because a partition between regions would expire the lease of a healthy worker.
func (l Location) lessorRank(o Location) int {
	switch {
	case l.Region == o.Region && l.Domain != o.Domain:
		return 0
	case l.Domain == o.Domain && l.Region == o.Region && l.Rack != o.Rack:
		return 1
	case l.Region != o.Region:
		return 2
	}
	return 3 // same rack
}

// pairHash hashes a pair of ids. It breaks ties between lessors differently for
// each lessee.
func pairHash(a, b units.WorkerID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(a))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}

// lessorCandidate is a possible lessor. Its fields after epoch are compared in
// order.
type lessorCandidate struct {
	epoch        WorkerEpoch
	mutual       int // 1 if it is a lessee of the worker: neither could record the other's expiry
	locationRank int
	lessees      int
	hash         uint64
}

func (c lessorCandidate) compare(o lessorCandidate) int {
	return cmp.Or(cmp.Compare(c.mutual, o.mutual), cmp.Compare(c.locationRank, o.locationRank), cmp.Compare(c.lessees, o.lessees),
		cmp.Compare(c.hash, o.hash), cmp.Compare(c.epoch.Worker, o.epoch.Worker))
}

// ChooseLessor returns the lessor for a worker at a location: an active worker
// other than itself that usable accepts (nil accepts all). It prefers another
// failure domain of the region, then another rack, then another region, and among
// these the worker with the fewest lessees. Two workers become each other's lessor
// only if there is no other choice. The worker need not be registered.
func (r *Roster) ChooseLessor(id units.WorkerID, at Location, usable func(WorkerEpoch) bool) (WorkerEpoch, bool) {
	var best lessorCandidate
	found := false
	for _, w := range r.workers {
		if w.ID == id || !w.Active() || (usable != nil && !usable(w.WorkerEpoch())) {
			continue
		}
		c := lessorCandidate{epoch: w.WorkerEpoch(), locationRank: at.lessorRank(Location{w.Domain, w.Rack, w.Region}),
			lessees: len(r.lessees[w.WorkerEpoch()]), hash: pairHash(id, w.ID)}
		if w.Lessor.Worker == id {
			c.mutual = 1
		}
		if !found || c.compare(best) < 0 {
			best, found = c, true
		}
	}
	return best.epoch, found
}

// RendezvousOwner returns the entry process that owns the key by rendezvous
// hashing, or "" if there are none. When an entry process joins or leaves, only the
// keys that it owns move.
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

// mixBits spreads the bits of two combined hashes with the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
