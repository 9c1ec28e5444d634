// Package layout contains the test that keeps docs/LAYOUT.md, the list of packages, up to date.
package layout
