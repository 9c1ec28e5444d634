package reach

import (
	"encoding/binary"
	"io"
)

// The bytes from an upstream are relayed over TCP in frames: a length of two bytes, then as many
// bytes; a frame without any ends the connection. A relaying process that is killed closes its sockets
// like one that has sent everything: without the last frame, an answer that ends with its connection
// would look complete although it was cut.

const (
	frameHeaderBytes = 2
	// maxFrameBytes bounds a frame, and with it the buffer of a relayed connection.
	maxFrameBytes = 8 << 10
)

// copyFrames copies from r to w in frames and ends with the last one once r has ended.
func copyFrames(w io.Writer, r io.Reader) error {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := r.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := w.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err := w.Write(make([]byte, frameHeaderBytes))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// frameReader reads what copyFrames wrote.
type frameReader struct {
	r io.Reader
	// left is what is left of the current frame.
	left int
	err  error
}

// Read returns io.EOF after the last frame, and io.ErrUnexpectedEOF if the connection ends without one.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	if f.left == 0 {
		if f.err = f.readHeader(); f.err != nil {
			return 0, f.err
		}
	}
	n, err := f.r.Read(p[:min(len(p), f.left)])
	f.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	f.err = err
	return n, err
}

func (f *frameReader) readHeader() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if f.left = int(binary.BigEndian.Uint16(header[:])); f.left == 0 {
		return io.EOF
	}
	return nil
}
