// Package remote speaks the platform's published gRPC protocol (api/platform/v1).
package remote
