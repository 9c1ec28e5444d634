package fleet2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// keep is how long records are kept: the 20 s of history of a small deployment.
	keep = 20 * time.Second
	// pageEntries is how many entries a page of log-newest has at most.
	pageEntries = 500
	// maxReadBytes bounds the records of one answer to log-read.
	maxReadBytes = 1 << 20
	// rememberedAppends is how many appends of a producer get their first answer again when they are repeated.
	rememberedAppends = 5
	// maxWait bounds waitMs.
	maxWait = 30 * time.Second
)

// Store is a stand-in of the platform's store: its log with keyed topics, as far as the system calls it.
type Store struct {
	server  *http.Server
	address string

	mu         sync.Mutex
	partitions map[string]*partition
}

// partition is a partition of a topic.
type partition struct {
	records []record
	// first is the offset of records[0], end the next offset.
	first, end int64
	newest     map[string]entry
	producers  map[string]*producer
	// grown is closed and replaced at each append.
	grown chan struct{}
}

type record struct {
	content []byte
	at      time.Time
}

// entry is the newest record of a key.
type entry struct {
	value  []byte
	offset int64
}

// producer is what is kept of a producer's appends.
type producer struct {
	epoch   uint64
	next    uint64
	begun   bool
	answers map[uint64]any
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.6.2:0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: l.Addr().String(), partitions: make(map[string]*partition)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AppendPath, s.append)
	mux.HandleFunc("GET "+wire.ReadPath, s.read)
	mux.HandleFunc("GET "+wire.NewestPath, s.readNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // until Close
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.address }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a record of a keyed topic's partition 0 as the operator and the engines do. Without a value the key is dropped.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.partition(topic, "0").add(topic, [][]byte{content})
}

// partition returns a partition, which is created on first use. The caller holds mu.
func (s *Store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: make(map[string]entry), producers: make(map[string]*producer), grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(topic string, contents [][]byte) (offset int64) {
	offset = p.end
	for _, content := range contents {
		p.records = append(p.records, record{content, time.Now()})
		if strings.HasPrefix(topic, "keyed.") && len(content) > int(content[0]) {
			key, value := string(content[1:1+content[0]]), content[1+content[0]:]
			p.newest[key] = entry{value, p.end}
			if len(value) == 0 {
				delete(p.newest, key)
			}
		}
		p.end++
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return offset
}

// expire drops the records that are no longer kept.
func (p *partition) expire() {
	for len(p.records) > 0 && time.Since(p.records[0].at) > keep {
		p.records = p.records[1:]
		p.first++
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone needs no answer
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	contents, ok := splitRecords(body)
	switch {
	case err != nil || !ok:
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	case topic == wire.OperatorTopic || topic == wire.ServerTopic:
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, q.Get("part"))
	if at := q.Get("at"); at != "" && at != fmt.Sprint(p.end) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"endOffset": p.end})
		return
	}
	var from *producer
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)       // zero if there is none
	sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64) // as above
	if name := q.Get("producer"); name != "" {
		if from = p.producers[name]; from == nil {
			from = &producer{answers: make(map[uint64]any)}
			p.producers[name] = from
		}
		switch {
		case epoch < from.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > from.epoch:
			*from = producer{epoch: epoch, answers: make(map[uint64]any)}
		}
		if len(contents) > 0 && from.begun && sequence != from.next {
			if first, repeated := from.answers[sequence]; repeated {
				answer(w, http.StatusOK, first)
				return
			}
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": from.next})
			return
		}
	}
	offset := p.add(topic, contents)
	result := map[string]any{"offset": offset, "endOffset": p.end}
	if from != nil && len(contents) > 0 {
		from.begun, from.next = true, sequence+1
		from.answers[sequence] = result
		delete(from.answers, sequence-rememberedAppends)
	}
	answer(w, http.StatusOK, result)
}

// splitRecords splits a body into the contents of its records.
func splitRecords(body []byte) (contents [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 || uint64(binary.BigEndian.Uint32(body)) > uint64(len(body)-4) {
			return nil, false
		}
		size := binary.BigEndian.Uint32(body)
		contents = append(contents, body[4:4+size])
		body = body[4+size:]
	}
	return contents, true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64) // zero if there is none
	if err != nil || from < 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	timeout := time.After(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	for timedOut := waitMs <= 0; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		p.expire()
		first, end, grown := p.first, p.end, p.grown
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), uint64(first))
		for i := from - first; i >= 0 && i < int64(len(p.records)) && len(out) < maxReadBytes; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].content)))
			out = append(out, p.records[i].content...)
		}
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < end || timedOut {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out) // a caller that is gone needs no answer
			return
		}
		select {
		case <-grown:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := map[string]any{"hasMore": len(keys) > pageEntries, "endOffset": p.end}
	entries := []any{}
	for _, key := range keys[:min(len(keys), pageEntries)] {
		e := p.newest[key]
		entries = append(entries, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	page["entries"] = entries
	answer(w, http.StatusOK, page)
}
