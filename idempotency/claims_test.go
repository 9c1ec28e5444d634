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
	// Keys would fill the memory of every node. They are forgotten when the log has
	// moved far on, at the same offset everywhere: otherwise one node would let a key
	// run again that another still refuses.
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
	// One account sends more keys than the fleet remembers. Forgetting its younger
	// ones would let their orders run twice, so new ones are refused, and only its own.
	is := is.New(t)
	c := NewClaims(Limits{RetentionOffsets: 1000, MinRetentionOffsets: 5, MaxPerAccount: 2})
	for i := range 3 {
		verdict, _ := c.Apply(fold.Position{Offset: uint64(i + 1), Writer: "a"}, claimEntry("x", fmt.Sprint(i), 1))
		is.Equal(verdict.OK(), i < 2)
	}
	verdict, _ := c.Apply(fold.Position{Offset: 4, Writer: "a"}, claimEntry("y", "0", 1))
	is.True(verdict.OK())
	verdict, _ = c.Apply(fold.Position{Offset: 7, Writer: "a"}, claimEntry("x", "2", 1))
	is.True(verdict.OK()) // the oldest is old enough to make room
}

// Whatever is appended, two nodes of which one started from the other's snapshot
// reach the same verdicts, a key never has two owners, and only its owner ends it.
func TestClaimsFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{RetentionOffsets: 8, MinRetentionOffsets: 4, MaxPerAccount: 3}
		whole, later := NewClaims(limits), NewClaims(limits)
		owner := map[ID]string{}
		restoreAt := rapid.IntRange(0, 40).Draw(t, "restore")
		for offset := 1; offset <= 60; offset++ {
			if offset == restoreAt+1 {
				data, err := whole.Snapshot()
				if err != nil || later.Restore(data) != nil {
					t.Fatal("snapshot")
				}
			}
			at := fold.Position{Offset: uint64(offset), Writer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer")}
			id := ID{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"), rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "key")}
			entry := claimEntry(id.Account, id.Key, byte(rapid.IntRange(1, 2).Draw(t, "digest")))
			isClaim := rapid.Bool().Draw(t, "claim")
			if !isClaim {
				entry = outcome(id, recordv1.CallEnd(rapid.IntRange(1, 3).Draw(t, "end")), Response{Status: 200})
			}
			before, held := whole.Get(id)
			first, _ := whole.Apply(at, entry)
			if offset > restoreAt {
				second, _ := later.Apply(at, entry)
				if first != second {
					t.Fatalf("offset %d: %v and %v", offset, first, second)
				}
			}
			switch {
			case isClaim && first.OK() && held && before.Offset+4 >= at.Offset:
				t.Fatalf("offset %d: a second owner of %v", offset, id)
			case isClaim && first.OK():
				owner[id] = at.Writer
			case !isClaim && first.OK() && owner[id] != at.Writer:
				t.Fatalf("offset %d: %s ended the call of %s", offset, at.Writer, owner[id])
			}
		}
	})
}
