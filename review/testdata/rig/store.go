package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	pageEntries   = 500
	pageBytes     = 1 << 20
	recordBytes   = 262144
	keptResponses = 5
)

// store is the platform's log store: topics of partitions, with producers that are fenced by their epoch.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	parts   map[string]*partition
}

type partition struct {
	records   [][]byte
	producers map[string]*producer
}

// producer is the state of one producer at a partition.
type producer struct {
	epoch, sequence uint64
	begun           bool
	recent          []appended
}

// appended is the response to a recent append.
type appended struct {
	sequence          uint64
	offset, endOffset int
}

func newStore(address string) (*store, error) {
	s := &store{address: address, changed: make(chan struct{}), parts: make(map[string]*partition)}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.AppendPath, s.handleAppend)
	mux.HandleFunc("GET "+wire.ReadPath, s.handleRead)
	mux.HandleFunc("GET "+wire.NewestPath, s.handleNewest)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return s, nil
}

func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p, ok := s.parts[key]
	if !ok {
		p = &partition{producers: make(map[string]*producer)}
		s.parts[key] = p
	}
	return p
}

// put writes the record of a key as the operator, an engine or another writer would; an empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.records = append(p.records, record)
	s.wake()
}

// wake wakes the waiting reads. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == wire.OperatorTopic || topic == wire.ServerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"endOffset": len(p.records)})
		return
	}
	name := q.Get("producer")
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)       // 0 if absent
	sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64) // 0 if absent
	if name != "" {
		pr, ok := p.producers[name]
		if !ok {
			pr = &producer{}
			p.producers[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > pr.epoch:
			*pr = producer{epoch: epoch}
		}
		if len(records) > 0 {
			for _, a := range pr.recent {
				if a.sequence == sequence {
					writeJSON(w, http.StatusOK, map[string]int{"offset": a.offset, "endOffset": a.endOffset})
					return
				}
			}
			if pr.begun && sequence != pr.sequence+1 {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": pr.sequence + 1})
				return
			}
			pr.begun, pr.sequence = true, sequence
			pr.recent = append(pr.recent, appended{sequence, len(p.records), len(p.records) + len(records)})
			pr.recent = pr.recent[max(0, len(pr.recent)-keptResponses):]
		}
	}
	offset := len(p.records)
	p.records = append(p.records, records...)
	s.wake()
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "endOffset": len(p.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))   // 0 if absent
	wait, _ := strconv.Atoi(q.Get("waitMs")) // 0 if absent
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.partition(q.Get("topic"), q.Get("part")).records, s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeRecords(w, records, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out) // a caller that left reads nothing
}

type newestEntry struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	byKey := make(map[string]newestEntry)
	for offset, record := range p.records {
		length := int(record[0])
		key, value := string(record[1:1+length]), record[1+length:]
		if len(value) == 0 {
			delete(byKey, key)
			continue
		}
		byKey[key] = newestEntry{key, base64.StdEncoding.EncodeToString(value), offset}
	}
	end := len(p.records)
	s.mu.Unlock()
	var entries []newestEntry
	for _, e := range byKey {
		if e.Key > q.Get("after") {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b newestEntry) int { return strings.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < len(entries) && count < pageEntries && size < pageBytes {
		size += len(entries[count].Value)
		count++
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": append([]newestEntry{}, entries[:count]...), "hasMore": count < len(entries), "endOffset": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that left reads nothing
}
