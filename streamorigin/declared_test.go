package streamorigin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream that begins at a version before the topic holds it, and against keeping all streams back
// while the topic is out of reach.
func TestStreamsBeginAtDeclaredVersionsOnly(t *testing.T) {
	inBubble(t, func(is *is.I, f *testFleet) {
		a := f.addNode("a")
		is.True(!a.MayBegin("s", "v1"))
		is.True(a.AwaitBegin(f.ctx, "s", []string{"v1"}))
		f.cut(f.cutFromStore, "a", "b")
		f.setVersions("v1", "v2")
		time.Sleep(time.Second)
		is.True(a.MayBegin("s", "v1"))
		is.True(!a.MayBegin("s", "v2"))
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		is.True(!a.AwaitBegin(ctx, "s", []string{"v2"}))
		f.setVersions("v1")
		b := f.addNode("b") // it starts without the store
		is.True(b.AwaitBegin(f.ctx, "s", []string{"v1"}))
	}, "v1")
}
