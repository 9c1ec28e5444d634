package allotment

import (
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lavenderpin.dev/lavenderpin/prepaid"
)

// reportKey is the key of an incarnation's report. Each incarnation has its own, so that
// a late write of an ended one can't hide the present one's.
func reportKey(node, incarnation string) string { return node + "/" + incarnation }

func encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, errors.Trace(err)
}

// DecodeReport reads a report.
func DecodeReport(b []byte) (prepaid.Report, error) {
	var r prepaid.Report
	err := msgpack.Unmarshal(b, &r)
	return r, errors.Trace(err)
}

// DecodeGrant reads a grant.
func DecodeGrant(b []byte) (prepaid.Grant, error) {
	var g prepaid.Grant
	err := msgpack.Unmarshal(b, &g)
	return g, errors.Trace(err)
}

// DecodeLedger reads a ledger.
func DecodeLedger(b []byte) (prepaid.Ledger, error) {
	var l prepaid.Ledger
	err := msgpack.Unmarshal(b, &l)
	return l, errors.Trace(err)
}
