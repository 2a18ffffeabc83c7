package ledger

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Histogram parameters. Weights are integers, because floating-point operations
// may be fused differently on another architecture, and the state must encode to
// equal bytes in all processes.
const (
	sampleWeight = 64
	// Weights are halved when they sum to halvingWeight. The histogram then
	// represents about the last 128 samples, so that it follows a kind whose size
	// changes within that many runs.
	halvingWeight = 128 * sampleWeight
	// bucketsPerOctave limits the error of a quantile to 1/32. Sizes are rounded
	// up, and the excess is not available to other tasks.
	octaveBits       = 5
	bucketsPerOctave = 1 << octaveBits
	maxKinds         = 4096
)

// Histogram is a decaying histogram over log-linear buckets.
type Histogram struct {
	Samples     uint32 // number of values added, saturating
	totalWeight uint32
	buckets     []bucketWeight // by ascending bucket
}

type bucketWeight struct{ bucket, weight uint32 }

// KindUsage contains usage statistics of the completed tasks of one job kind.
type KindUsage struct {
	UpdatedOffset units.Offset
	Processors    Histogram // millicores
	Memory        Histogram // KiB
	RunTime       Histogram // milliseconds
}

func bucketOf(v uint64) uint32 {
	if v < bucketsPerOctave {
		return uint32(v)
	}
	shift := uint32(bits.Len64(v)) - octaveBits - 1 // the leading bit and octaveBits more remain
	return (shift+1)*bucketsPerOctave + uint32(v>>shift) - bucketsPerOctave
}

// bucketUpperBound returns the largest value of a bucket.
func bucketUpperBound(b uint32) uint64 {
	if b < bucketsPerOctave {
		return uint64(b)
	}
	shift := b/bucketsPerOctave - 1
	return uint64(b%bucketsPerOctave+bucketsPerOctave+1)<<shift - 1
}

// Add adds a sample.
func (h *Histogram) Add(v uint64) {
	b := bucketOf(v)
	i, found := slices.BinarySearchFunc(h.buckets, b, func(w bucketWeight, b uint32) int { return cmp.Compare(w.bucket, b) })
	if !found {
		h.buckets = slices.Insert(h.buckets, i, bucketWeight{bucket: b})
	}
	h.buckets[i].weight += sampleWeight
	h.totalWeight += sampleWeight
	if h.Samples < 1<<31 {
		h.Samples++
	}
	if h.totalWeight < halvingWeight {
		return
	}
	h.totalWeight = 0
	for i := range h.buckets {
		h.buckets[i].weight /= 2
		h.totalWeight += h.buckets[i].weight
	}
	h.buckets = slices.DeleteFunc(h.buckets, func(w bucketWeight) bool { return w.weight == 0 })
}

// Quantile returns the value below or at which permille/1000 of the weight lies,
// rounded up to the end of its bucket. It returns 0 without samples.
func (h *Histogram) Quantile(permille uint32) uint64 {
	need := (uint64(h.totalWeight)*uint64(permille) + 999) / 1000
	var sum uint64
	for _, w := range h.buckets {
		sum += uint64(w.weight)
		if sum >= need && sum > 0 {
			return bucketUpperBound(w.bucket)
		}
	}
	return 0
}

// recordUsage adds a completed run to the statistics of its kind.
func (l *Ledger) recordUsage(kind units.JobKind, offset units.Offset, used units.Resources, ran time.Duration) {
	if kind == "" {
		return
	}
	k := l.usageByKind[kind]
	if k == nil {
		if len(l.usageByKind) >= maxKinds {
			removeOldest(l.usageByKind, func(k *KindUsage) units.Offset { return k.UpdatedOffset })
		}
		k = &KindUsage{}
		l.usageByKind[kind] = k
	}
	k.UpdatedOffset = offset
	if ran > 0 {
		k.RunTime.Add(uint64(ran.Milliseconds()))
	}
	if used.Processors > 0 && used.Memory > 0 { // zero for runs that were too short to be measured
		k.Processors.Add(uint64(used.Processors))
		k.Memory.Add(uint64(used.Memory+units.KiB-1) / uint64(units.KiB))
	}
}

// removeOldest removes the entry with the lowest offset, and among those with the same
// offset the one with the lowest key, so that all processes remove the same entry.
func removeOldest[K cmp.Ordered, V any](entries map[K]V, offset func(V) units.Offset) {
	var oldest K
	found := false
	for key, v := range entries {
		if !found || cmp.Or(cmp.Compare(offset(v), offset(entries[oldest])), cmp.Compare(key, oldest)) < 0 {
			oldest, found = key, true
		}
	}
	delete(entries, oldest)
}

// KindUsage returns the usage statistics of a job kind, or nil.
func (l *Ledger) KindUsage(kind units.JobKind) *KindUsage { return l.usageByKind[kind] }

// failureStreak counts the failures on a worker since its last success.
type failureStreak struct {
	consecutive uint32 // of different jobs
	lastJob     units.JobID
	updated     units.Offset
}

// maxFailureStreaks limits the number of failure streaks; the one whose last
// failure is oldest is removed first.
const maxFailureStreaks = 4096

// recordFailure counts a failed attempt on the worker. Consecutive failures of the
// same job count once, because the job may be their cause.
func (l *Ledger) recordFailure(w units.WorkerID, job units.JobID, offset units.Offset) {
	f := l.failureStreaks[w]
	if f == nil {
		if len(l.failureStreaks) >= maxFailureStreaks {
			removeOldest(l.failureStreaks, func(f *failureStreak) units.Offset { return f.updated })
		}
		f = &failureStreak{}
		l.failureStreaks[w] = f
	}
	if f.lastJob != job {
		f.consecutive++
	}
	f.lastJob, f.updated = job, offset
}

func (l *Ledger) recordSuccess(w units.WorkerID) { delete(l.failureStreaks, w) }

// ConsecutiveFailures returns how many attempts have failed on the worker since one
// last completed there. Consecutive failures of the same job count once.
func (l *Ledger) ConsecutiveFailures(w units.WorkerID) int {
	if f := l.failureStreaks[w]; f != nil {
		return int(f.consecutive)
	}
	return 0
}
