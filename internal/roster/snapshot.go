package roster

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Snapshot returns the encoded state. Rosters that applied the same entries encode
// to equal bytes.
func (r *Roster) Snapshot() ([]byte, error) {
	s := &wire.RosterState{}
	for _, e := range r.Entries() {
		s.Entries = append(s.Entries, &wire.EntryAnnounced{Entry: string(e.ID), LinkAddress: e.LinkAddress,
			FailureDomain: string(e.Domain), Region: string(e.Region)})
		s.AnnouncedOffsets = append(s.AnnouncedOffsets, uint64(e.AnnouncedOffset))
	}
	for _, w := range r.Workers() {
		s.Workers = append(s.Workers, &wire.RosterWorker{
			Registration: registration(&w), Term: uint64(w.Term), Expired: w.Expired, Left: w.Left,
			EpochFloor: uint64(w.EpochFloor), RegisteredOffset: uint64(w.RegisteredOffset),
			LessorOffset: uint64(w.LessorOffset), EndedOffset: uint64(w.EndOffset)})
	}
	for _, reason := range slices.Sorted(maps.Keys(r.rejections)) {
		s.Rejections = append(s.Rejections, &wire.Rejections{Reason: string(reason), Count: r.rejections[reason]})
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fault.Wrap("snapshot", BadSnapshot, err)
	}
	return b, nil
}

func registration(w *Worker) *wire.WorkerRegistered {
	return &wire.WorkerRegistered{Worker: string(w.ID), Epoch: uint64(w.Epoch), FailureDomain: string(w.Domain),
		Rack: string(w.Rack), Region: string(w.Region), LinkAddress: w.LinkAddress, Capacity: wire.FromResources(w.Capacity),
		Lessor: string(w.Lessor.Worker), LessorEpoch: uint64(w.Lessor.Epoch)}
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (r *Roster) Restore(state []byte) error {
	var s wire.RosterState
	if err := proto.Unmarshal(state, &s); err != nil {
		return fault.Wrap("restore", BadSnapshot, err)
	}
	if len(s.GetAnnouncedOffsets()) != len(s.GetEntries()) {
		return fault.New("restore", BadSnapshot, "%d entry processes do not match %d announcement offsets", len(s.GetEntries()), len(s.GetAnnouncedOffsets()))
	}
	n := New()
	n.Observe = r.Observe
	for i, e := range s.GetEntries() {
		if err := n.announceEntry(units.Offset(s.GetAnnouncedOffsets()[i]), e); err != nil {
			return fault.Wrap("restore", BadSnapshot, err)
		}
	}
	for _, m := range s.GetWorkers() {
		g := m.GetRegistration()
		if g.GetWorker() == "" || g.GetEpoch() == 0 {
			return fault.New("restore", BadSnapshot, "worker id %q is empty or epoch %d is zero", g.GetWorker(), g.GetEpoch())
		}
		w := &Worker{ID: units.WorkerID(g.GetWorker()), Epoch: units.Epoch(g.GetEpoch()), Domain: units.DomainName(g.GetFailureDomain()),
			Rack: units.RackName(g.GetRack()), Region: units.RegionName(g.GetRegion()), LinkAddress: g.GetLinkAddress(),
			Capacity: g.GetCapacity().Units(), Lessor: workerEpoch(g.GetLessor(), g.GetLessorEpoch()), Term: units.Term(m.GetTerm()),
			Expired: m.GetExpired(), Left: m.GetLeft(), EpochFloor: units.Epoch(m.GetEpochFloor()),
			RegisteredOffset: units.Offset(m.GetRegisteredOffset()), LessorOffset: units.Offset(m.GetLessorOffset()), EndOffset: units.Offset(m.GetEndedOffset())}
		n.workers[w.ID] = w
		if w.Active() {
			n.addLessee(w)
		} else {
			n.endedCount++
		}
	}
	for _, m := range s.GetRejections() {
		n.rejections[Reason(m.GetReason())] = m.GetCount()
	}
	*r = *n
	return nil
}
