// Package ports declares the interfaces to the platform's services: the append-only log,
// the eventually consistent instance list and the rate-limited weight store. Package
// remote implements them over the published protocol in api/platform/v1.
package ports
