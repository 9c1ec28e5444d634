// Package ports holds the ports to the platform's services: the append-only
// log, the lagging instance list and the rate-limited weight store. Package
// remote implements them over the published protocol in api/platform/v1.
package ports
