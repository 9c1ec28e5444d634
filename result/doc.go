// Package result defines the numbered result codes that callers and operators see.
//
// Every refusal or failure that a node returns has one code. The table in
// docs/RESULT-CODES.md lists them all; a test compares it with this package.
package result
