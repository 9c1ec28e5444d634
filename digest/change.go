package digest

import (
	"encoding/json"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// markKey is the key of the record that tells that a digest is complete and kept. No
// upstream's key is empty of letters.
const markKey = "."

// wireEntry is a ready upstream as the digest holds it.
type wireEntry struct {
	Service    string `json:"s"`
	Address    string `json:"a"`
	DataCentre string `json:"d"`
	Slots      int    `json:"n"`
	Born       int64  `json:"b,omitempty"`
	Sequence   int64  `json:"q"`
}

// Encode writes an entry as a record.
func Encode(e directory.Entry) (keyedlog.Record, error) {
	raw, err := json.Marshal(wireEntry{e.Service, e.Address, e.DataCentre, e.Slots, e.Born, e.Sequence})
	return keyedlog.Record{Key: e.ID, Value: raw}, errors.Trace(err)
}

// Decode reads an entry from a record; false for the mark.
func Decode(r keyedlog.Record) (directory.Entry, bool, error) {
	if r.Key == markKey {
		return directory.Entry{}, false, nil
	}
	var w wireEntry
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return directory.Entry{}, false, errors.Annotatef(err, "digest of %q", r.Key)
	}
	return directory.Entry{ID: r.Key, Service: w.Service, Address: w.Address, DataCentre: w.DataCentre,
		Slots: w.Slots, State: directory.Ready, Born: w.Born, Sequence: w.Sequence}, true, nil
}

// Diff returns the records that turn a digest into one of the ready entries.
func Diff(written map[string]directory.Entry, ready []directory.Entry) ([]keyedlog.Record, error) {
	var records []keyedlog.Record
	present := make(map[string]bool, len(ready))
	for _, e := range ready {
		present[e.ID] = true
		if old, ok := written[e.ID]; ok && same(old, e) {
			continue
		}
		r, err := Encode(e)
		if err != nil {
			return nil, errors.Trace(err)
		}
		records = append(records, r)
	}
	for id := range written {
		if !present[id] {
			records = append(records, keyedlog.Record{Key: id, Deleted: true})
		}
	}
	return records, nil
}

// same tells that a request couldn't tell two entries apart. Heartbeats alone aren't news.
func same(a, b directory.Entry) bool {
	a.Sequence, a.Warmup = b.Sequence, b.Warmup
	return a == b
}
