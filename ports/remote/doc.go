// Package remote is a client for the platform's published gRPC protocol (api/platform/v1).
package remote
