package roster

import (
	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func encode(m *wire.MembersEntry) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil // a text is not valid UTF-8; the roster rejects an empty entry as malformed
	}
	return b
}

// EncodeEntryAnnounced returns the entry with which an entry process announces that
// it is running.
func EncodeEntryAnnounced(e Entry) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_EntryAnnounced{EntryAnnounced: &wire.EntryAnnounced{
		Entry: string(e.ID), LinkAddress: e.LinkAddress, FailureDomain: string(e.Domain), Region: string(e.Region)}}})
}

// EncodeEntryLeft returns the entry for the planned stop of an entry process.
func EncodeEntryLeft(id units.EntryID) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_EntryLeft{EntryLeft: &wire.EntryLeft{Entry: string(id)}}})
}

// EncodeRegistered returns the entry that registers a new epoch of a worker, which
// begins with term 1. Fields of w that the roster sets are ignored.
func EncodeRegistered(w Worker) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_WorkerRegistered{WorkerRegistered: registration(&w)}})
}

// EncodeLessorChanged returns the entry that changes the worker's lessor. The term
// must be the current one plus one.
func EncodeLessorChanged(w WorkerEpoch, term units.Term, lessor WorkerEpoch) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_LessorChanged{LessorChanged: &wire.LessorChanged{
		Worker: string(w.Worker), Epoch: uint64(w.Epoch), Term: uint64(term), Lessor: string(lessor.Worker), LessorEpoch: uint64(lessor.Epoch)}}})
}

// EncodeLeaseExpired returns the entry for the expiry of the lease of the epoch.
func EncodeLeaseExpired(w WorkerEpoch, term units.Term) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_LeaseExpired{LeaseExpired: &wire.LeaseExpired{
		Worker: string(w.Worker), Epoch: uint64(w.Epoch), Term: uint64(term)}}})
}

// EncodeLeft returns the entry for the planned stop of the epoch.
func EncodeLeft(w WorkerEpoch) []byte {
	return encode(&wire.MembersEntry{Kind: &wire.MembersEntry_WorkerLeft{WorkerLeft: &wire.WorkerLeft{
		Worker: string(w.Worker), Epoch: uint64(w.Epoch)}}})
}
