package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"lavenderpin.dev/lavenderpin/directory"
)

func BenchmarkServe(b *testing.B) {
	for _, n := range []int{8, 160, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tg := newTestGateway(1e9, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
				return newResponse(200, false, strings.NewReader("ok")), nil
			})
			for i := range n {
				tg.Directory.Put(directory.Entry{ID: fmt.Sprintf("x%d", i), Service: "s", Version: "v1", DataCentre: "dc", Slots: 24, State: directory.Ready})
			}
			b.ReportAllocs()
			for b.Loop() {
				r, c := tg.request("read"), &recordingSink{}
				r.PromptTokens, r.MaxOutput = 0, 0
				tg.Serve(context.Background(), r, c)
				if c.status != 200 {
					b.Fatal(c.refusal)
				}
			}
		})
	}
}
