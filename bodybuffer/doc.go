// Package bodybuffer holds the bodies of responses in memory that all requests of a process share.
package bodybuffer
