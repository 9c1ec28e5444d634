// Package fleetv1 is what nodes say to each other, over QUIC with mutual TLS.
package fleetv1
