package fleetfile

import (
	"context"

	"google.golang.org/grpc"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// fakeOperator implements the operator API on an in-memory configuration state.
type fakeOperator struct {
	operatorv1.OperatorServiceClient
	state  *config.State
	offset uint64
	// beforeApply, if set, runs once before the next change is applied.
	beforeApply func()
	topUps      []string
}

func newFakeOperator() *fakeOperator { return &fakeOperator{state: config.NewState(nil)} }

func (f *fakeOperator) List(_ context.Context, r *operatorv1.ListRequest, _ ...grpc.CallOption) (*operatorv1.ListResponse, error) {
	page, next := f.state.View().Page(r.GetAfter())
	return &operatorv1.ListResponse{Offset: f.offset, Resources: page, Next: next}, nil
}

func (f *fakeOperator) Apply(_ context.Context, r *operatorv1.ApplyRequest, _ ...grpc.CallOption) (*operatorv1.ApplyResponse, error) {
	if beforeApply := f.beforeApply; beforeApply != nil {
		f.beforeApply = nil
		beforeApply()
	}
	f.offset++
	change := &recordv1.ConfigChange{ChangeId: r.GetChangeId(), Changes: r.GetChanges()}
	verdict, _ := f.state.Apply(fold.Position{Offset: f.offset}, &recordv1.Entry{Body: &recordv1.Entry_Config{Config: change}})
	if !verdict.OK() {
		return nil, result.New(verdict.Code, "%s", verdict.Message)
	}
	return &operatorv1.ApplyResponse{Version: verdict.Version}, nil
}

func (f *fakeOperator) TopUp(_ context.Context, r *operatorv1.TopUpRequest, _ ...grpc.CallOption) (*operatorv1.TopUpResponse, error) {
	f.topUps = append(f.topUps, r.GetTopUp().GetId())
	return &operatorv1.TopUpResponse{}, nil
}
