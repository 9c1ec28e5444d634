package fleetfile

import (
	"context"

	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
)

// ReadResources reads all resources in force, page by page, and the lowest offset of the pages.
func ReadResources(ctx context.Context, client operatorv1.OperatorServiceClient) ([]*operatorv1.VersionedResource, uint64, error) {
	var all []*operatorv1.VersionedResource
	var offset uint64
	request := &operatorv1.ListRequest{}
	for {
		page, err := client.List(ctx, request)
		if err != nil {
			return nil, 0, errors.Trace(err)
		}
		if request.After == "" || page.GetOffset() < offset {
			offset = page.GetOffset()
		}
		all = append(all, page.GetResources()...)
		if page.GetNext() == "" {
			return all, offset, nil
		}
		request = &operatorv1.ListRequest{After: page.GetNext()}
	}
}

// ReadResource reads one resource; an error that is errors.NotFound when there is none.
func ReadResource(ctx context.Context, client operatorv1.OperatorServiceClient, key config.Key) (*operatorv1.VersionedResource, error) {
	page, err := client.List(ctx, &operatorv1.ListRequest{Kind: string(key.Kind), Name: key.Name})
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, held := range page.GetResources() {
		if heldKey, _ := config.KeyOf(held.GetResource()); heldKey == key {
			return held, nil
		}
	}
	return nil, errors.NotFoundf("%s", key)
}
