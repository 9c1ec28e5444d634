package standin

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/ports"
)

// Platform serves the stand-ins by the published protocol.
type Platform struct {
	platformv1.UnimplementedLogServiceServer
	platformv1.UnimplementedInstanceServiceServer
	platformv1.UnimplementedWeightServiceServer

	Log       ports.Log
	Instances ports.InstanceList
	Weights   ports.WeightStore
}

// Register adds the three services to a gRPC server.
func (p *Platform) Register(server *grpc.Server) {
	platformv1.RegisterLogServiceServer(server, p)
	platformv1.RegisterInstanceServiceServer(server, p)
	platformv1.RegisterWeightServiceServer(server, p)
}

// Append serves platform.v1.LogService.
func (p *Platform) Append(ctx context.Context, r *platformv1.AppendRequest) (*platformv1.AppendResponse, error) {
	offset, err := p.Log.Append(ctx, r.GetStream(), r.GetData())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &platformv1.AppendResponse{Offset: offset}, nil
}

// Read serves platform.v1.LogService.
func (p *Platform) Read(ctx context.Context, r *platformv1.ReadRequest) (*platformv1.ReadResponse, error) {
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	slice, err := p.Log.Read(ctx, r.GetStream(), r.GetFrom(), int(r.GetMaxRecords()), wait)
	if errors.Is(err, ports.ErrAgedOut) {
		return nil, status.Error(codes.OutOfRange, err.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	answer := &platformv1.ReadResponse{Oldest: slice.Oldest, Next: slice.Next}
	for _, record := range slice.Records {
		answer.Records = append(answer.Records, &platformv1.LogRecord{Offset: record.Offset, Data: record.Data})
	}
	return answer, nil
}

// List serves platform.v1.InstanceService.
func (p *Platform) List(ctx context.Context, _ *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	list, err := p.Instances.List(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &platformv1.ListResponse{Instances: list}, nil
}

// Fetch serves platform.v1.WeightService.
func (p *Platform) Fetch(ctx context.Context, r *platformv1.FetchRequest) (*platformv1.FetchResponse, error) {
	bytes, wait, err := p.Weights.Fetch(ctx, r.GetModel(), r.GetVersion())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &platformv1.FetchResponse{Bytes: bytes, RetryAfterMs: uint32(wait.Milliseconds())}, nil
}
