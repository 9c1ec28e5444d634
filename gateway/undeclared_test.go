package gateway

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// lateOrigins declares versions only after a number of questions whether a stream may begin at one.
type lateOrigins struct {
	*fakeOrigins
	questions int
}

func (l *lateOrigins) MayBegin(string, string) bool {
	l.questions--
	return l.questions < 0
}

// AwaitBegin reports, as the registry does at the end of ctx, that a stream may begin at none of no versions.
func (l *lateOrigins) AwaitBegin(_ context.Context, service string, versions []string) bool {
	for _, v := range versions {
		if l.MayBegin(service, v) {
			return true
		}
	}
	return false
}

// Guards against a stream that is refused since its version was declared between the choice of an upstream and the wait for the
// declaration: there is nothing left to wait for.
func TestDeclarationJustBeforeWait(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(0, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, true, strings.NewReader(numberedEvents(1, 20))), nil
	})
	upstreams := len(tg.Directory.Current().Upstreams("s"))
	tg.Origins = &lateOrigins{fakeOrigins: tg.origins, questions: 1 + upstreams} // the choice, and each upstream that it leaves out
	sink := tg.serve(context.Background(), "stream")
	if sink.refusal != nil {
		t.Fatal(sink.refusal.Code, sink.refusal.Message)
	}
	is.Equal(sink.status, 200)
}
