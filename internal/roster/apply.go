package roster

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Apply applies one entry. It returns an error only if the entry cannot be decoded
// or exceeds a limit. An entry that is not allowed in the current state is counted
// and ignored.
func (r *Roster) Apply(offset units.Offset, entry []byte) error {
	var m wire.MembersEntry
	err := proto.Unmarshal(entry, &m)
	c, reason := Change{Offset: offset}, Reason("")
	if err == nil {
		switch k := m.GetKind().(type) {
		case *wire.MembersEntry_EntryAnnounced:
			c.Kind, c.Entry = "entryAnnounced", units.EntryID(k.EntryAnnounced.GetEntry())
			err = r.announceEntry(offset, k.EntryAnnounced)
		case *wire.MembersEntry_EntryLeft:
			c.Kind, c.Entry = "entryLeft", units.EntryID(k.EntryLeft.GetEntry())
			reason = r.removeEntry(c.Entry)
		case *wire.MembersEntry_WorkerRegistered:
			m := k.WorkerRegistered
			c.Kind, c.Worker = "registered", workerEpoch(m.GetWorker(), m.GetEpoch())
			reason, err = r.registerWorker(offset, m)
		case *wire.MembersEntry_LessorChanged:
			m := k.LessorChanged
			c.Kind, c.Worker = "lessorChanged", workerEpoch(m.GetWorker(), m.GetEpoch())
			reason = r.changeLessor(offset, c.Worker, units.Term(m.GetTerm()), workerEpoch(m.GetLessor(), m.GetLessorEpoch()))
		case *wire.MembersEntry_LeaseExpired:
			m := k.LeaseExpired
			c.Kind, c.Worker = "leaseExpired", workerEpoch(m.GetWorker(), m.GetEpoch())
			reason = r.expireLease(offset, c.Worker, units.Term(m.GetTerm()))
		case *wire.MembersEntry_WorkerLeft:
			c.Kind, c.Worker = "left", workerEpoch(k.WorkerLeft.GetWorker(), k.WorkerLeft.GetEpoch())
			reason = r.leaveWorker(offset, c.Worker)
		default:
			err = fmt.Errorf("unknown entry kind")
		}
	}
	if err != nil {
		reason = ReasonMalformed
	}
	if reason != "" {
		r.rejections[reason]++
	}
	if c.Reason = reason; r.Observe != nil {
		r.Observe(c)
	}
	if err != nil {
		return fault.Wrap("apply", Malformed, err)
	}
	return nil
}

func workerEpoch(worker string, epoch uint64) WorkerEpoch {
	return WorkerEpoch{units.WorkerID(worker), units.Epoch(epoch)}
}

func (r *Roster) announceEntry(offset units.Offset, m *wire.EntryAnnounced) error {
	if m.GetEntry() == "" || anyTooLong(m.GetEntry(), m.GetLinkAddress(), m.GetFailureDomain(), m.GetRegion()) {
		return fmt.Errorf("entryAnnounced entry: the id is empty or a text is too long")
	}
	id := units.EntryID(m.GetEntry())
	r.entries[id] = &Entry{id, m.GetLinkAddress(), units.DomainName(m.GetFailureDomain()), units.RegionName(m.GetRegion()), offset}
	if len(r.entries) <= MaxEntries {
		return nil
	}
	var oldest *Entry
	for _, e := range r.entries {
		if oldest == nil || e.AnnouncedOffset < oldest.AnnouncedOffset || (e.AnnouncedOffset == oldest.AnnouncedOffset && e.ID < oldest.ID) {
			oldest = e
		}
	}
	delete(r.entries, oldest.ID)
	return nil
}

func (r *Roster) removeEntry(id units.EntryID) Reason {
	if r.entries[id] == nil {
		return ReasonUnknownEntry
	}
	delete(r.entries, id)
	return ""
}

func (r *Roster) registerWorker(offset units.Offset, m *wire.WorkerRegistered) (Reason, error) {
	capacity := m.GetCapacity().Units()
	switch {
	case m.GetWorker() == "" || m.GetEpoch() == 0 || m.GetFailureDomain() == "":
		return "", fmt.Errorf("registered entry: worker %.40q, epoch %d or failure domain %.40q is empty or zero", m.GetWorker(), m.GetEpoch(), m.GetFailureDomain())
	case anyTooLong(m.GetWorker(), m.GetFailureDomain(), m.GetRack(), m.GetRegion(), m.GetLinkAddress(), m.GetLessor()):
		return "", fmt.Errorf("registered entry: a text is too long")
	case capacity.Processors < 0 || capacity.Memory < 0 || capacity.Accelerators < 0:
		return "", fmt.Errorf("registered entry: capacity %v is negative", capacity)
	}
	id, epoch := units.WorkerID(m.GetWorker()), units.Epoch(m.GetEpoch())
	old := r.workers[id]
	if old != nil && epoch <= max(old.Epoch, old.EpochFloor) {
		return ReasonOldEpoch, nil
	}
	if old == nil && len(r.workers)-r.endedCount >= MaxActiveWorkers {
		return "", fmt.Errorf("registered entry: there are already %d active workers", MaxActiveWorkers)
	}
	lessor := workerEpoch(m.GetLessor(), m.GetLessorEpoch())
	if lessor != (WorkerEpoch{}) && !r.validLessor(lessor, id) {
		return ReasonInvalidLessor, nil
	}
	w := &Worker{ID: id, Epoch: epoch, Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()),
		Region: units.RegionName(m.GetRegion()), LinkAddress: m.GetLinkAddress(), Capacity: capacity,
		Lessor: lessor, Term: 1, RegisteredOffset: offset, LessorOffset: offset,
		EpochFloor: epoch - 1} // ends all lower epochs, including any that never registered
	if old != nil {
		if old.Active() {
			r.removeLessee(old)
		} else {
			r.endedCount--
		}
	}
	r.workers[id] = w
	r.addLessee(w)
	return "", nil
}

// validLessor reports whether the lessor is active and not the lessee itself. An
// epoch that has ended grants no leases and cannot record an expiry.
func (r *Roster) validLessor(lessor WorkerEpoch, lessee units.WorkerID) bool {
	w := r.workers[lessor.Worker]
	return lessor.Worker != lessee && w != nil && w.Epoch == lessor.Epoch && w.Active()
}

// activeWorker returns the worker of the epoch, or why the epoch is not active.
func (r *Roster) activeWorker(h WorkerEpoch) (*Worker, Reason) {
	w := r.workers[h.Worker]
	switch {
	case w == nil || h.Epoch > w.Epoch:
		return nil, ReasonUnknownWorker
	case h.Epoch < w.Epoch:
		return nil, ReasonOldEpoch
	case !w.Active():
		return nil, ReasonEnded
	}
	return w, ""
}

func (r *Roster) changeLessor(offset units.Offset, h WorkerEpoch, term units.Term, lessor WorkerEpoch) Reason {
	w, reason := r.activeWorker(h)
	switch {
	case reason != "":
		return reason
	case term != w.Term+1:
		return ReasonTerm
	case !r.validLessor(lessor, w.ID):
		return ReasonInvalidLessor
	}
	r.removeLessee(w)
	w.Lessor, w.Term, w.LessorOffset = lessor, term, offset
	r.addLessee(w)
	return ""
}

func (r *Roster) expireLease(offset units.Offset, h WorkerEpoch, term units.Term) Reason {
	w, reason := r.activeWorker(h)
	if reason != "" {
		return reason
	}
	if term != w.Term {
		return ReasonTerm
	}
	w.Expired = true
	r.endEpoch(w, offset)
	return ""
}

func (r *Roster) leaveWorker(offset units.Offset, h WorkerEpoch) Reason {
	w, reason := r.activeWorker(h)
	if reason != "" {
		return reason
	}
	w.Left = true
	r.endEpoch(w, offset)
	return ""
}

func (r *Roster) endEpoch(w *Worker, offset units.Offset) {
	r.removeLessee(w)
	w.EpochFloor, w.EndOffset = w.Epoch, offset
	if r.endedCount++; r.endedCount <= MaxEndedWorkers {
		return
	}
	var oldest *Worker
	for _, w := range r.workers {
		if !w.Active() && (oldest == nil || w.EndOffset < oldest.EndOffset || (w.EndOffset == oldest.EndOffset && w.ID < oldest.ID)) {
			oldest = w
		}
	}
	delete(r.workers, oldest.ID)
	r.endedCount--
}

func (r *Roster) addLessee(w *Worker) {
	if w.Lessor == (WorkerEpoch{}) {
		return
	}
	if r.lessees[w.Lessor] == nil {
		r.lessees[w.Lessor] = map[units.WorkerID]bool{}
	}
	r.lessees[w.Lessor][w.ID] = true
}

func (r *Roster) removeLessee(w *Worker) {
	delete(r.lessees[w.Lessor], w.ID)
	if len(r.lessees[w.Lessor]) == 0 {
		delete(r.lessees, w.Lessor)
	}
}

func anyTooLong(texts ...string) bool {
	for _, s := range texts {
		if len(s) > maxTextBytes {
			return true
		}
	}
	return false
}
