package signed

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"strings"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// MinSecretLen is the least length of a secret, in bytes.
	MinSecretLen = 32
	// MaxTokenLen bounds a text that Open looks at, in bytes. A caller's header could
	// otherwise make a node decode megabytes.
	MaxTokenLen = 2048
	// sumBytes of the HMAC are sent: 128 bits can't be guessed within a text's life.
	sumBytes  = 16
	separator = '.'
)

// ErrInvalid is what Open answers for a text that this fleet didn't make for the
// purpose.
var ErrInvalid = errors.New("not signed by this fleet")

// encoding is strict: each content has one text only.
var encoding = base64.RawURLEncoding.Strict()

// Signer makes and checks the texts of one purpose. It is safe for concurrent use.
type Signer struct {
	workers sync.Pool
}

// worker holds what one text needs, to be used again.
type worker struct {
	mac                hash.Hash
	content, text, sum []byte
}

// NewSigner returns a signer. A text made for one purpose is invalid for another,
// so that a caller can't use a cursor as a ticket.
func NewSigner(secret []byte, purpose string) *Signer {
	outer := hmac.New(sha256.New, secret)
	outer.Write([]byte(purpose))
	key := outer.Sum(nil)
	return &Signer{workers: sync.Pool{New: func() any { return &worker{mac: hmac.New(sha256.New, key)} }}}
}

// Sign returns the message as a signed text.
func (s *Signer) Sign(message proto.Message) string {
	w := s.workers.Get().(*worker)
	defer s.workers.Put(w)
	var err error
	w.content, err = proto.MarshalOptions{}.MarshalAppend(w.content[:0], message)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	w.text = encoding.AppendEncode(w.text[:0], w.content)
	w.text = append(w.text, separator)
	w.text = encoding.AppendEncode(w.text, w.sign(w.content))
	return string(w.text)
}

// Verify reads a text that Seal made into the message, or fails with ErrInvalid.
func (s *Signer) Verify(text string, into proto.Message) error {
	head, tail, found := strings.Cut(text, string(separator))
	if !found || len(text) > MaxTokenLen {
		return errors.Trace(ErrInvalid)
	}
	content, err := encoding.DecodeString(head)
	if err != nil {
		return errors.Trace(ErrInvalid)
	}
	sum, err := encoding.DecodeString(tail)
	if err != nil || !s.isSigned(content, sum) {
		return errors.Trace(ErrInvalid)
	}
	if proto.Unmarshal(content, into) != nil {
		return errors.Trace(ErrInvalid)
	}
	return nil
}

func (s *Signer) isSigned(content, sum []byte) bool {
	w := s.workers.Get().(*worker)
	defer s.workers.Put(w)
	return hmac.Equal(sum, w.sign(content))
}

// sign returns the HMAC of a content, valid until the worker's next use.
func (w *worker) sign(content []byte) []byte {
	w.mac.Reset()
	w.mac.Write(content)
	w.sum = w.mac.Sum(w.sum[:0])
	return w.sum[:sumBytes]
}
