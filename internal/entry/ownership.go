package entry

import (
	"slices"
	"sync"

	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/pkg/units"
)

// ownership determines whether this process owns a key among a fixed set of live
// entry processes. It only divides the work: correctness does not depend on it.
type ownership struct {
	self units.EntryID
	live []units.EntryID // sorted; contains self

	mu    sync.Mutex
	cache map[string]bool
}

// maxOwnershipCache bounds cache. It is about twice the number of jobs per day.
const maxOwnershipCache = 32_768

func newOwnership(self units.EntryID, live []units.EntryID) *ownership {
	if !slices.Contains(live, self) {
		live = append(slices.Clone(live), self)
		slices.Sort(live)
	}
	return &ownership{self: self, live: live, cache: make(map[string]bool)}
}

// owns reports whether this process owns the key.
func (o *ownership) owns(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owned, ok := o.cache[key]; ok {
		return owned
	}
	if len(o.cache) >= maxOwnershipCache {
		clear(o.cache)
	}
	owned := roster.RendezvousOwner(key, o.live) == o.self
	o.cache[key] = owned
	return owned
}
