package streamorigin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// TopicName is the name of the topic.
const TopicName = "streams"

// The topic holds two kinds of records: one for each version of a service, and one for each node that has
// streams to publish.
const (
	versionKeyPrefix = "version/"
	nodeKeyPrefix    = "node/"
)

// versionRecord declares that streams of a service may begin at a version.
type versionRecord struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Earlier holds the offsets of the service's declarations that its writer had read.
	Earlier map[string]int64 `json:"earlier,omitempty"`
}

// nodeRecord lists the streams that began at one incarnation of a node.
type nodeRecord struct {
	Origins []originRecord `json:"origins"`
	// Marked are the services in which the node may begin streams at versions other than the base.
	Marked []string `json:"marked,omitempty"`
}

// originRecord lists the streams of one origin by the hashes of their attempts, hashSize bytes each.
type originRecord struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Weights  int64  `json:"weights,omitempty"`
	Attempts []byte `json:"attempts"`
}

// hashSize is the size of an attempt's hash in bytes.
const hashSize = 8

func hashAttempt(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// versionKey returns the key of a version. The hash keeps it short.
func versionKey(o Origin) string {
	raw := make([]byte, 0, 16)
	const hexDigits = "0123456789abcdef"
	for sum := xxhash.Sum64String(o.Service + "\x00" + o.Version); len(raw) < cap(raw); sum >>= 4 {
		raw = append(raw, hexDigits[sum&15])
	}
	return versionKeyPrefix + string(raw)
}

// nodeKey returns the key of a node's record. renewals tells the successive records of one incarnation apart; a later one sorts
// behind those before, so that a reading in the order of keys meets one of them.
func nodeKey(node, incarnation string, renewals int) string {
	key := nodeKeyPrefix + node + "/" + incarnation
	if renewals > 0 {
		key += fmt.Sprintf("/%06d", renewals)
	}
	return key
}

// incarnation is one process of a node.
type incarnation struct{ node, id string }

// parseNodeKey splits the key of a node's record. Names of nodes and incarnations hold no slash.
func parseNodeKey(key string) (node, incarnation string, ok bool) {
	rest, found := strings.CutPrefix(key, nodeKeyPrefix)
	if !found {
		return "", "", false
	}
	node, rest, ok = strings.Cut(rest, "/")
	incarnation, _, _ = strings.Cut(rest, "/")
	return node, incarnation, ok
}

func encodeVersion(o Origin, earlier map[string]int64) (keyedlog.Record, error) {
	value, err := json.Marshal(versionRecord{o.Service, o.Version, earlier})
	return keyedlog.Record{Key: versionKey(o), Value: value}, errors.Trace(err)
}

// encodeNode returns the record of a node's streams and of the services in which it is marked; without any it deletes the
// last one.
func encodeNode(key string, attempts map[Origin][]string, marked map[string]bool) (keyedlog.Record, error) {
	record := keyedlog.Record{Key: key}
	if len(attempts) == 0 && len(marked) == 0 {
		record.Deleted = true
		return record, nil
	}
	rec := nodeRecord{Marked: slices.Sorted(maps.Keys(marked))}
	for o, list := range attempts {
		entry := originRecord{Service: o.Service, Version: o.Version, Weights: o.Weights}
		for _, attempt := range list {
			entry.Attempts = binary.BigEndian.AppendUint64(entry.Attempts, hashAttempt(attempt))
		}
		rec.Origins = append(rec.Origins, entry)
	}
	var err error
	record.Value, err = json.Marshal(&rec)
	return record, errors.Trace(err)
}
