package ledger

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Histogram weights. Integers only: floating point may be fused differently on
// another architecture, and two folds of one log must encode to equal bytes.
const (
	sampleWeight = 64
	// halveAt keeps about the last 128 samples in force, so that a kind whose
	// size changes is learned anew within that many runs.
	halveAt = 128 * sampleWeight
	// bucketsPerOctave bounds the error of a quantile to one part in 32: sizes
	// are rounded up, and what is rounded is lost to other tasks.
	octaveBits       = 5
	bucketsPerOctave = 1 << octaveBits
	maxKinds         = 4096
)

// Histogram is a decaying histogram over log-linear buckets.
type Histogram struct {
	Samples uint32 // seen in all, saturating
	total   uint32
	buckets []weighted // ascending
}

type weighted struct{ bucket, weight uint32 }

// Learned is what the ended tasks of one job kind have used.
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
	shift := uint32(bits.Len64(v)) - octaveBits - 1 // keeps the leading one and five more bits
	return (shift+1)*bucketsPerOctave + uint32(v>>shift) - bucketsPerOctave
}

// upperBound is the largest value of a bucket.
func upperBound(b uint32) uint64 {
	if b < bucketsPerOctave {
		return uint64(b)
	}
	shift := b/bucketsPerOctave - 1
	return uint64(b%bucketsPerOctave+bucketsPerOctave+1)<<shift - 1
}

// Add records one value.
func (h *Histogram) Add(v uint64) {
	b := bucketOf(v)
	i, found := slices.BinarySearchFunc(h.buckets, b, func(w weighted, b uint32) int { return cmp.Compare(w.bucket, b) })
	if !found {
		h.buckets = slices.Insert(h.buckets, i, weighted{bucket: b})
	}
	h.buckets[i].weight += sampleWeight
	h.total += sampleWeight
	if h.Samples < 1<<31 {
		h.Samples++
	}
	if h.total < halveAt {
		return
	}
	h.total = 0
	for i := range h.buckets {
		h.buckets[i].weight /= 2
		h.total += h.buckets[i].weight
	}
	h.buckets = slices.DeleteFunc(h.buckets, func(w weighted) bool { return w.weight == 0 })
}

// Quantile returns a value that at least permille/1000 of the weight does not
// exceed, rounded up to its bucket; 0 without samples.
func (h *Histogram) Quantile(permille uint32) uint64 {
	need := (uint64(h.total)*uint64(permille) + 999) / 1000
	var sum uint64
	for _, w := range h.buckets {
		sum += uint64(w.weight)
		if sum >= need && sum > 0 {
			return upperBound(w.bucket)
		}
	}
	return 0
}

// learn adds a completed run to the statistics of its kind.
func (l *Ledger) learn(kind units.JobKind, offset units.Offset, used units.Resources, ran time.Duration) {
	if kind == "" {
		return
	}
	k := l.kinds[kind]
	if k == nil {
		if len(l.kinds) >= maxKinds {
			l.forgetOldestKind()
		}
		k = &KindUsage{}
		l.kinds[kind] = k
	}
	k.UpdatedOffset = offset
	if ran > 0 {
		k.RunTime.Add(uint64(ran.Milliseconds()))
	}
	if used.Processors > 0 && used.Memory > 0 { // a run too short to be measured says nothing about size
		k.Processors.Add(uint64(used.Processors))
		k.Memory.Add(uint64(used.Memory+units.KiB-1) / uint64(units.KiB))
	}
}

func (l *Ledger) forgetOldestKind() {
	var oldest units.JobKind
	var at *KindUsage
	for name, k := range l.kinds {
		if at == nil || k.UpdatedOffset < at.UpdatedOffset || (k.UpdatedOffset == at.UpdatedOffset && name < oldest) {
			oldest, at = name, k
		}
	}
	delete(l.kinds, oldest)
}

// Learned returns the statistics of a job kind, or nil.
func (l *Ledger) KindUsage(kind units.JobKind) *KindUsage { return l.kinds[kind] }

// failing is the run of failures of a worker since its last success.
type failing struct {
	consecutive uint32 // of different jobs
	lastJob     units.JobID
	updated     units.Offset
}

// maxFailing bounds the table of failing workers; the entry whose last failure
// is oldest goes first.
const maxFailing = 4096

// noteFailure counts a failed attempt against the worker. A job that fails
// again on the same worker says nothing new about the worker.
func (l *Ledger) noteFailure(w units.WorkerID, job units.JobID, offset units.Offset) {
	f := l.failing[w]
	if f == nil {
		if len(l.failing) >= maxFailing {
			l.forgetOldestFailing()
		}
		f = &failing{}
		l.failing[w] = f
	}
	if f.lastJob != job {
		f.consecutive++
	}
	f.lastJob, f.updated = job, offset
}

func (l *Ledger) forgetOldestFailing() {
	var oldest units.WorkerID
	var at *failing
	for w, f := range l.failing {
		if at == nil || f.updated < at.updated || (f.updated == at.updated && w < oldest) {
			oldest, at = w, f
		}
	}
	delete(l.failing, oldest)
}

func (l *Ledger) noteSuccess(w units.WorkerID) { delete(l.failing, w) }

// ConsecutiveFailures returns how many attempts of different jobs have failed
// on the worker since one last completed there.
func (l *Ledger) ConsecutiveFailures(w units.WorkerID) int {
	if f := l.failing[w]; f != nil {
		return int(f.consecutive)
	}
	return 0
}
