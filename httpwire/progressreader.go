package httpwire

import "io"

// ProgressReader calls Progress for each part that it reads.
type ProgressReader struct {
	R        io.Reader
	Progress func()
}

// Read reads a part.
func (p *ProgressReader) Read(b []byte) (int, error) {
	n, err := p.R.Read(b)
	if n > 0 {
		p.Progress()
	}
	return n, err
}
