// Package fleetfile parses and applies the declarative file of "lavenderctl apply": the
// message operator.v1.Fleet as protojson. The whole file is validated before anything is
// sent, and every problem is reported with its location.
package fleetfile
