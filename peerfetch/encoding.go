package peerfetch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

const (
	encodingGzip = "gzip"
	// minCompressedBytes is the size from which a reply is compressed: a smaller one fits into a packet.
	minCompressedBytes = 1400
)

func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip)
}

// encodedReply is a reply as it is sent.
type encodedReply struct {
	body       []byte
	compressed bool
}

// EncodeReply encodes a reply as it is sent to a peer that accepts compression. A configuration shrinks to
// about a tenth.
func EncodeReply(reply *Reply) ([]byte, error) {
	encoded, err := encodeReply(reply, true)
	return encoded.body, err
}

func encodeReply(reply *Reply, compress bool) (encodedReply, error) {
	raw, err := json.Marshal(reply)
	if err != nil || !compress || len(raw) < minCompressedBytes {
		return encodedReply{body: raw}, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return encodedReply{}, err
	}
	if _, err := w.Write(raw); err != nil {
		return encodedReply{}, err
	}
	if err := w.Close(); err != nil {
		return encodedReply{}, err
	}
	return encodedReply{out.Bytes(), true}, nil
}

// replyCache holds the last compressed reply: after a change, all nodes of a data centre ask for the same.
type replyCache struct {
	mu         sync.Mutex
	from, next int64
	reply      encodedReply
}

// encode encodes a reply to a request.
func (rep *Replica) encode(req *Request, reply *Reply, compress bool) (encodedReply, error) {
	if !compress || len(reply.Records) == 0 {
		return encodeReply(reply, compress)
	}
	c := &rep.encoded
	c.mu.Lock() // those that ask meanwhile wait for the same reply
	defer c.mu.Unlock()
	if c.reply.body != nil && c.from == req.From && c.next == reply.Next {
		return c.reply, nil
	}
	encoded, err := encodeReply(reply, true)
	if err == nil {
		c.from, c.next, c.reply = req.From, reply.Next, encoded
	}
	return encoded, err
}
