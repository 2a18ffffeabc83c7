// Package configuration derives the current document of each environment from the
// stream "config", and publishes new documents by compare-and-set.
//
// State accepts a record by its form and its base only, never by the content of its
// document. If a check of the content differed between program versions, processes
// would disagree on which offset is current, and one process would accept a later
// record that another rejects. Publisher checks a document before it appends it. A
// document that an operator appended to the log directly may fail the check. It is
// then the current version and the base of the next record, while each process keeps
// the newest version that passes its own check in force.
package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/pkg/units"
)

// Stream is the stream of configuration records.
const Stream = "config"

// Limits of a record. They determine which records are accepted, so a change of one
// makes old and new processes disagree.
const (
	MaxDocumentBytes = 512 << 10
	maxKeyBytes      = 128
	maxAuthorBytes   = 256
)

var environmentName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Record proposes a new document for an environment.
type Record struct {
	Key         string // identifies the proposal; empty in records that operators append by hand
	Environment units.EnvironmentName
	Base        units.Offset // offset of the version that the proposal replaces; 0 for none
	Author      string
	Document    []byte // JSON with comments, as written
}

// recordBody is the JSON form of a Record. EncodeRecord writes the document as a
// string, which preserves its comments; an operator may also write it as an object.
type recordBody struct {
	Key         string          `json:"key"`
	Environment string          `json:"environment"`
	BaseOffset  units.Offset    `json:"baseOffset"`
	Author      string          `json:"author"`
	Document    json.RawMessage `json:"document"`
}

// EncodeRecord returns the log payload of r.
func EncodeRecord(r Record) ([]byte, error) {
	document, err := json.Marshal(string(r.Document))
	if err != nil {
		return nil, err
	}
	return json.Marshal(recordBody{r.Key, string(r.Environment), r.Base, r.Author, document})
}

// DecodeRecord decodes a payload, which may contain comments. It ignores unknown
// keys, so that a later program version may add keys and old and new readers still
// accept the same records.
func DecodeRecord(payload []byte) (Record, error) {
	if len(payload) > 4*MaxDocumentBytes {
		return Record{}, fmt.Errorf("record is too large: %d bytes", len(payload))
	}
	var body recordBody
	if err := json.Unmarshal(payload, &body); err != nil {
		standard, commentErr := hujson.Standardize(bytes.Clone(payload))
		if commentErr != nil {
			return Record{}, err
		}
		if err := json.Unmarshal(standard, &body); err != nil {
			return Record{}, err
		}
	}
	document := []byte(body.Document)
	if len(document) > 0 && document[0] == '"' {
		var text string
		if err := json.Unmarshal(document, &text); err != nil {
			return Record{}, err
		}
		document = []byte(text)
	}
	r := Record{body.Key, units.EnvironmentName(body.Environment), body.BaseOffset, body.Author, document}
	return r, r.validate()
}

func (r Record) validate() error {
	switch {
	case !environmentName.MatchString(string(r.Environment)):
		return fmt.Errorf("bad environment name %.64q", r.Environment)
	case len(r.Key) > maxKeyBytes:
		return fmt.Errorf("key of %d bytes exceeds %d", len(r.Key), maxKeyBytes)
	case len(r.Author) > maxAuthorBytes:
		return fmt.Errorf("author of %d bytes exceeds %d", len(r.Author), maxAuthorBytes)
	case len(r.Document) == 0 || bytes.Equal(r.Document, []byte("null")):
		return errors.New("no document")
	case !utf8.Valid(r.Document) || !utf8.ValidString(r.Key) || !utf8.ValidString(r.Author):
		return errors.New("record is not UTF-8")
	case len(r.Document) > MaxDocumentBytes:
		return fmt.Errorf("document of %d bytes exceeds %d", len(r.Document), MaxDocumentBytes)
	}
	return nil
}

// DecodePayload is the stream.Decoder of the config stream. A payload that
// starts as a JSON object or comment is a record; anything else must be an
// envelope with a snapshot part.
func DecodePayload(payload []byte) (stream.Record, error) {
	if text := bytes.TrimLeft(payload, " \t\r\n"); len(text) > 0 && (text[0] == '{' || text[0] == '/') {
		if _, err := DecodeRecord(payload); err != nil {
			return stream.Record{}, err
		}
		return stream.Record{Entries: [][]byte{payload}}, nil
	}
	record, err := stream.DecodeEnvelope(payload)
	if err == nil && record.Snapshot == nil {
		err = errors.New("envelope in the config stream has no snapshot")
	}
	return record, err
}
