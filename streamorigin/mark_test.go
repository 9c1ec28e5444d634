package streamorigin

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Guards against relying on a mark that was withdrawn by a write whose answer was lost.
func TestMarkWithdrawnWithoutAnswerIsWrittenAgain(t *testing.T) {
	inBubble(t, func(is *is.I, f *testFleet) {
		f.addNode("a")
		b := f.addNode("b")
		time.Sleep(time.Second)
		f.setVersions("v1", "v2")
		is.True(b.AwaitBegin(f.ctx, "s", []string{"v2"}))
		synctest.Wait() // the other node declares the version too, which must not be behind the deletion
		f.setVersions("v1")
		v2 := versionKey(second)
		is.NoErr(f.topic.Append(f.ctx, keyedlog.Fence{Producer: "cleaner", Epoch: 1}, keyedlog.Record{Key: v2, Deleted: true}))
		for b.HasSeveralVersions("s") { // until the node reads that, and withdraws its mark
			f.cut(f.unanswered, "b")
			time.Sleep(10 * time.Millisecond)
		}
		for f.marked("b") {
			time.Sleep(time.Millisecond)
		}
		f.rejoin("b")
		record, err := encodeVersion(second, map[string]int64{"v1": f.offset(first)})
		is.NoErr(err)
		is.NoErr(f.topic.Append(f.ctx, keyedlog.Fence{Producer: "another", Epoch: 1}, record))
		f.setVersions("v1", "v2")
		for !b.MayBegin("s", "v2") {
			time.Sleep(time.Millisecond)
		}
		is.True(f.marked("b"))
	}, "v1")
}

// marked reports whether the topic holds the mark of a node.
func (f *testFleet) marked(node string) bool {
	records, end, _ := f.topic.Newest(context.Background(), func() {})
	v, _ := decodeView(records, end)
	return slices.Contains(v.marked["s"], incarnation{node, node + "-1"})
}

// offset returns the offset of a version's declaration.
func (f *testFleet) offset(o Origin) int64 {
	records, end, _ := f.topic.Newest(context.Background(), func() {})
	v, _ := decodeView(records, end)
	return v.declarations[o].offset
}

// Guards against deleting the mark of a node that wrote it anew, while others didn't see it, after it was away for long.
func TestMarkOfNodeThatWasAwayIsNotDeleted(t *testing.T) {
	inBubble(t, func(is *is.I, f *testFleet) {
		f.addNode("a")
		b := f.addNode("b")
		time.Sleep(30 * time.Second)
		f.lose("b")
		time.Sleep(retirementAge)
		f.rejoin("b")
		time.Sleep(2 * time.Second)
		is.True(b.MayBegin("s", "v2"))
		f.lose("b")
		time.Sleep(refreshInterval)
		is.True(b.MayBegin("s", "v2"))
		is.True(f.marked("b"))
	}, "v1", "v2")
}

// Guards against a stream that begins at a later version at a node that stood still, and whose mark was deleted meanwhile.
func TestMarkIsNotReliedOnByNodeThatStoodStill(t *testing.T) {
	inBubble(t, func(is *is.I, f *testFleet) {
		f.addNode("a")
		time.Sleep(time.Second)
		f.setVersions("v1", "v2")
		time.Sleep(time.Second)
		f.end() // the publisher does nothing more
		time.Sleep(retirementAge)
		is.True(!f.nodes["a"].MayBegin("s", "v2"))
		is.True(f.nodes["a"].MayBegin("s", "v1"))
	}, "v1")
}

// rejoin undoes cuts.
func (f *testFleet) rejoin(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cutFromNodes, name)
	delete(f.cutFromStore, name)
	delete(f.unanswered, name)
}

// Guards against streams that begin without a mark at a base that has just come back, and whose deletion is on its way.
func TestVersionDeletedAsItComesBackIsNotBegunAtWithoutMark(t *testing.T) {
	inBubble(t, func(is *is.I, f *testFleet) {
		a := f.addNode("a")
		time.Sleep(time.Second)
		f.setVersions("v1", "v2")
		time.Sleep(time.Second)
		f.setVersions("v2")
		time.Sleep(time.Second)
		f.cut(f.refused, "c")
		f.setVersions("v2", "v1")
		c := f.addNode("c")
		time.Sleep(minInterval + time.Millisecond)
		began := c.MayBegin("s", "v1")
		c.Record("lost", first, time.Minute)
		f.lose("c")
		is.NoErr(f.topic.Append(f.ctx, keyedlog.Fence{Producer: "cleaner", Epoch: 1}, keyedlog.Record{Key: versionKey(first), Deleted: true}))
		found, err := a.Resolve(f.ctx, "s", "lost")
		is.True(!began || err != nil || found.Origin == first)
	}, "v1")
}
