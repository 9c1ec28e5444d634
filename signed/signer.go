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
	// MinSecret is the least length of a secret, in bytes.
	MinSecret = 32
	// MaxText bounds a text that Open looks at, in bytes. A caller's header could
	// otherwise make a node decode megabytes.
	MaxText = 2048
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
	macs sync.Pool
}

// NewSigner returns a signer. A text made for one purpose is invalid for another,
// so that a caller can't use a cursor as a ticket.
func NewSigner(secret []byte, purpose string) *Signer {
	outer := hmac.New(sha256.New, secret)
	outer.Write([]byte(purpose))
	key := outer.Sum(nil)
	return &Signer{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

// Seal returns the message as a signed text.
func (s *Signer) Seal(message proto.Message) string {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	text := make([]byte, 0, encoding.EncodedLen(len(content))+1+encoding.EncodedLen(sumBytes))
	text = encoding.AppendEncode(text, content)
	text = append(text, separator)
	text = encoding.AppendEncode(text, s.sum(content))
	return string(text)
}

// Open reads a text that Seal made into the message, or fails with ErrInvalid.
func (s *Signer) Open(text string, into proto.Message) error {
	head, tail, found := strings.Cut(text, string(separator))
	if !found || len(text) > MaxText {
		return errors.Trace(ErrInvalid)
	}
	content, err := encoding.DecodeString(head)
	if err != nil {
		return errors.Trace(ErrInvalid)
	}
	sum, err := encoding.DecodeString(tail)
	if err != nil || !hmac.Equal(sum, s.sum(content)) {
		return errors.Trace(ErrInvalid)
	}
	if proto.Unmarshal(content, into) != nil {
		return errors.Trace(ErrInvalid)
	}
	return nil
}

func (s *Signer) sum(content []byte) []byte {
	mac := s.macs.Get().(hash.Hash)
	defer s.macs.Put(mac)
	mac.Reset()
	mac.Write(content)
	return mac.Sum(nil)[:sumBytes]
}
