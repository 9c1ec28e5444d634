package httpwire

import "io"

// ProgressReader calls Progress after each read that returns data.
type ProgressReader struct {
	R        io.Reader
	Progress func()
}

// Read reads from R.
func (p *ProgressReader) Read(b []byte) (int, error) {
	n, err := p.R.Read(b)
	if n > 0 {
		p.Progress()
	}
	return n, err
}
