package remote

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	platformv1 "lavenderpin.dev/lavenderpin/api/platform/v1"
	"lavenderpin.dev/lavenderpin/ports"
)

// Client implements ports.Log, ports.Instances and ports.Weights.
type Client struct {
	conn      *grpc.ClientConn
	log       platformv1.LogServiceClient
	instances platformv1.InstanceServiceClient
	weights   platformv1.WeightServiceClient
}

var (
	_ ports.Log          = (*Client)(nil)
	_ ports.InstanceList = (*Client)(nil)
	_ ports.WeightStore  = (*Client)(nil)
)

// Dial returns a client for the platform at an address; it connects when first used.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.Annotatef(err, "platform at %s", address)
	}
	return &Client{
		conn:      conn,
		log:       platformv1.NewLogServiceClient(conn),
		instances: platformv1.NewInstanceServiceClient(conn),
		weights:   platformv1.NewWeightServiceClient(conn),
	}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Append implements ports.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	answer, err := c.log.Append(ctx, &platformv1.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, errors.Annotate(err, "append")
	}
	return answer.GetOffset(), nil
}

// Read implements ports.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	answer, err := c.log.Read(ctx, &platformv1.ReadRequest{
		Stream: stream, From: from, MaxRecords: uint32(max), WaitMs: uint32(wait.Milliseconds()),
	})
	if status.Code(err) == codes.OutOfRange {
		return ports.ReadResult{}, errors.Annotatef(ports.ErrAgedOut, "offset %d", from)
	}
	if err != nil {
		return ports.ReadResult{}, errors.Annotate(err, "read")
	}
	slice := ports.ReadResult{Oldest: answer.GetOldest(), Next: answer.GetNext()}
	for _, r := range answer.GetRecords() {
		slice.Records = append(slice.Records, ports.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return slice, nil
}

// List implements ports.Instances.
func (c *Client) List(ctx context.Context) ([]*platformv1.Instance, error) {
	answer, err := c.instances.List(ctx, &platformv1.ListRequest{})
	if err != nil {
		return nil, errors.Annotate(err, "instance list")
	}
	return answer.GetInstances(), nil
}

// Fetch implements ports.Weights.
func (c *Client) Fetch(ctx context.Context, model, version string) (uint64, time.Duration, error) {
	answer, err := c.weights.Fetch(ctx, &platformv1.FetchRequest{Model: model, Version: version})
	if err != nil {
		return 0, 0, errors.Annotate(err, "weight store")
	}
	return answer.GetBytes(), time.Duration(answer.GetRetryAfterMs()) * time.Millisecond, nil
}
