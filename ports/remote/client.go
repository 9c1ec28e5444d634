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
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Client implements ports.Log, ports.InstanceList and ports.WeightStore.
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

// Dial returns a client for the platform at an address; it connects on first use.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(tcpconn.Dialer(tcpconn.ServerLimits)))
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

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Append implements ports.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	response, err := c.log.Append(ctx, &platformv1.AppendRequest{Stream: stream, Data: data})
	if err != nil {
		return 0, errors.Annotate(err, "append")
	}
	return response.GetOffset(), nil
}

// Read implements ports.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (ports.ReadResult, error) {
	response, err := c.log.Read(ctx, &platformv1.ReadRequest{
		Stream: stream, From: from, MaxRecords: uint32(maxRecords), WaitMs: uint32(wait.Milliseconds()),
	})
	if status.Code(err) == codes.OutOfRange {
		return ports.ReadResult{}, errors.Annotatef(ports.ErrAgedOut, "offset %d", from)
	}
	if err != nil {
		return ports.ReadResult{}, errors.Annotate(err, "read")
	}
	result := ports.ReadResult{Oldest: response.GetOldest(), Next: response.GetNext()}
	for _, r := range response.GetRecords() {
		result.Records = append(result.Records, ports.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return result, nil
}

// List implements ports.InstanceList.
func (c *Client) List(ctx context.Context) ([]*platformv1.Instance, error) {
	response, err := c.instances.List(ctx, &platformv1.ListRequest{})
	if err != nil {
		return nil, errors.Annotate(err, "list instances")
	}
	return response.GetInstances(), nil
}

// Fetch implements ports.WeightStore.
func (c *Client) Fetch(ctx context.Context, model, version string) (uint64, time.Duration, error) {
	response, err := c.weights.Fetch(ctx, &platformv1.FetchRequest{Model: model, Version: version})
	if err != nil {
		return 0, 0, errors.Annotate(err, "fetch weights")
	}
	return response.GetBytes(), time.Duration(response.GetRetryAfterMs()) * time.Millisecond, nil
}
