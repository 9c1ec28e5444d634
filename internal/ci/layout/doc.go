// Package layout holds the test that keeps docs/LAYOUT.md, the list of packages, true.
package layout
