package idempotency

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

func claimEntry(account, key string, digest byte) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_CallClaim{
		CallClaim: &recordv1.CallClaim{Account: account, Key: key, Digest: []byte{digest}}}}
}

func TestClaimsExpireByOffset(t *testing.T) {
	// Claims are evicted at the same log offset on every node. Otherwise one node would
	// let a key run again that another one still refuses.
	is := is.New(t)
	c := NewClaims(Limits{RetentionOffsets: 10, MinRetentionOffsets: 5, MaxPerAccount: 100})
	verdict, _ := c.Apply(fold.Position{Offset: 1, Writer: "a"}, claimEntry("x", "old", 1))
	is.True(verdict.OK())
	verdict, _ = c.Apply(fold.Position{Offset: 11, Writer: "b"}, claimEntry("x", "old", 1))
	is.Equal(verdict.Code, result.CallInProgress)
	verdict, _ = c.Apply(fold.Position{Offset: 12, Writer: "b"}, claimEntry("x", "old", 1))
	is.True(verdict.OK())
	is.Equal(c.Len(), 1)
}

func TestAccountLimitRefusesNewClaims(t *testing.T) {
	// An account sends more keys than the limit. Evicting recent claims would let their
	// calls run twice, so new claims are refused, and only for that account.
	is := is.New(t)
	c := NewClaims(Limits{RetentionOffsets: 1000, MinRetentionOffsets: 5, MaxPerAccount: 2})
	for i := range 3 {
		verdict, _ := c.Apply(fold.Position{Offset: uint64(i + 1), Writer: "a"}, claimEntry("x", fmt.Sprint(i), 1))
		is.Equal(verdict.OK(), i < 2)
	}
	verdict, _ := c.Apply(fold.Position{Offset: 4, Writer: "a"}, claimEntry("y", "0", 1))
	is.True(verdict.OK())
	verdict, _ = c.Apply(fold.Position{Offset: 7, Writer: "a"}, claimEntry("x", "2", 1))
	is.True(verdict.OK()) // the oldest claim is old enough to be evicted
}

// For any log, a node that restored another's snapshot reaches the same verdicts, a key
// never has two owners, and only the owner's outcome is accepted.
func TestClaimsFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{RetentionOffsets: 8, MinRetentionOffsets: 4, MaxPerAccount: 3}
		original, restored := NewClaims(limits), NewClaims(limits)
		owner := map[ID]string{}
		restoreAt := rapid.IntRange(0, 40).Draw(t, "restore")
		for offset := 1; offset <= 60; offset++ {
			if offset == restoreAt+1 {
				data, err := original.Snapshot()
				if err != nil || restored.Restore(data) != nil {
					t.Fatal("snapshot or restore failed")
				}
			}
			pos := fold.Position{Offset: uint64(offset), Writer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer")}
			id := ID{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"), rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "key")}
			entry := claimEntry(id.Account, id.Key, byte(rapid.IntRange(1, 2).Draw(t, "digest")))
			isClaim := rapid.Bool().Draw(t, "claim")
			if !isClaim {
				entry = outcomeEntry(id, recordv1.CallEnd(rapid.IntRange(1, 3).Draw(t, "end")), Response{Status: 200})
			}
			before, known := original.Get(id)
			first, _ := original.Apply(pos, entry)
			if offset > restoreAt {
				second, _ := restored.Apply(pos, entry)
				if first != second {
					t.Fatalf("offset %d: verdicts differ: %v and %v", offset, first, second)
				}
			}
			switch {
			case isClaim && first.OK() && known && before.Offset+4 >= pos.Offset:
				t.Fatalf("offset %d: a second owner of %v", offset, id)
			case isClaim && first.OK():
				owner[id] = pos.Writer
			case !isClaim && first.OK() && owner[id] != pos.Writer:
				t.Fatalf("offset %d: outcome by %s accepted for a call of %s", offset, pos.Writer, owner[id])
			}
		}
	})
}
