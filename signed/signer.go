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
	// MinSecretLen is the minimum length of a secret in bytes.
	MinSecretLen = 32
	// MaxTokenLen is the maximum length in bytes of a token that Verify decodes. Without
	// the limit, a caller's header could make a node decode megabytes.
	MaxTokenLen = 2048
	// macLen is the length in bytes to which the HMAC is truncated. 128 bits can't be
	// guessed within a token's lifetime.
	macLen    = 16
	separator = '.'
)

// ErrInvalid is returned for a token that this fleet didn't sign for the purpose.
var ErrInvalid = errors.New("not signed by this fleet")

// encoding is strict, so that each payload has exactly one token.
var encoding = base64.RawURLEncoding.Strict()

// Signer signs and verifies the tokens of one purpose. It is safe for concurrent use.
type Signer struct {
	pool sync.Pool
}

// state holds the reusable hash and buffers for signing or verifying one token.
type state struct {
	hmac                   hash.Hash
	payload, token, digest []byte
}

// NewSigner returns a signer for one purpose. A token signed for one purpose is invalid
// for another, so that a caller can't use a cursor as a ticket.
func NewSigner(secret []byte, purpose string) *Signer {
	kdf := hmac.New(sha256.New, secret)
	kdf.Write([]byte(purpose))
	key := kdf.Sum(nil)
	return &Signer{pool: sync.Pool{New: func() any { return &state{hmac: hmac.New(sha256.New, key)} }}}
}

// Sign encodes a message as a signed token.
func (s *Signer) Sign(message proto.Message) string {
	st := s.pool.Get().(*state)
	defer s.pool.Put(st)
	var err error
	st.payload, err = proto.MarshalOptions{}.MarshalAppend(st.payload[:0], message)
	if err != nil {
		panic(err) // generated messages always marshal
	}
	st.token = encoding.AppendEncode(st.token[:0], st.payload)
	st.token = append(st.token, separator)
	st.token = encoding.AppendEncode(st.token, st.mac(st.payload))
	return string(st.token)
}

// Verify decodes a token created by Sign into a message, or returns ErrInvalid.
func (s *Signer) Verify(token string, message proto.Message) error {
	encodedPayload, encodedMAC, found := strings.Cut(token, string(separator))
	if !found || len(token) > MaxTokenLen {
		return errors.Trace(ErrInvalid)
	}
	payload, err := encoding.DecodeString(encodedPayload)
	if err != nil {
		return errors.Trace(ErrInvalid)
	}
	mac, err := encoding.DecodeString(encodedMAC)
	if err != nil || !s.validMAC(payload, mac) {
		return errors.Trace(ErrInvalid)
	}
	if proto.Unmarshal(payload, message) != nil {
		return errors.Trace(ErrInvalid)
	}
	return nil
}

func (s *Signer) validMAC(payload, mac []byte) bool {
	st := s.pool.Get().(*state)
	defer s.pool.Put(st)
	return hmac.Equal(mac, st.mac(payload))
}

// mac returns the truncated HMAC of a payload. It is valid until the next use of s.
func (s *state) mac(payload []byte) []byte {
	s.hmac.Reset()
	s.hmac.Write(payload)
	s.digest = s.hmac.Sum(s.digest[:0])
	return s.digest[:macLen]
}
