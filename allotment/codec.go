package allotment

import (
	"encoding/json"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/prepaid"
)

// reportKey returns the key of an incarnation's report. Each incarnation has its own, so that a
// late write of an ended one can't replace the current one's.
func reportKey(node, incarnation string) string { return node + "/" + incarnation }

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, errors.Trace(err)
}

// DecodeReport decodes a report.
func DecodeReport(b []byte) (prepaid.Report, error) {
	var r prepaid.Report
	err := json.Unmarshal(b, &r)
	return r, errors.Trace(err)
}

// DecodeGrant decodes a grant.
func DecodeGrant(b []byte) (prepaid.Grant, error) {
	var g prepaid.Grant
	err := json.Unmarshal(b, &g)
	return g, errors.Trace(err)
}

// DecodeLedger decodes and validates a ledger.
func DecodeLedger(b []byte) (prepaid.Ledger, error) {
	var l prepaid.Ledger
	if err := json.Unmarshal(b, &l); err != nil {
		return l, errors.Trace(err)
	}
	for _, account := range l.Accounts {
		for _, e := range account.Entries {
			if e.Node < 0 || e.Node >= len(l.Nodes) {
				return l, errors.Errorf("entry of account %q refers to node index %d, but the ledger lists %d nodes", account.Account, e.Node, len(l.Nodes))
			}
		}
	}
	return l, nil
}
