// Package fleetfile reads the declarative file that "lavenderctl apply" takes: the
// message operator.v1.Fleet as protojson. The file is checked whole before anything
// is sent, and every mistake is named with its place.
package fleetfile
