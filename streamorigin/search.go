package streamorigin

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// search is the search for where one stream began: in the store and, if that is slow or doesn't know, at other nodes.
type search struct {
	registry *Registry
	request  Request
	// stored receives the store's answer.
	stored    chan storeAnswer
	votes     ballot
	exclusion exclusion
	answers   chan peerAnswer
	// asked holds the names of the nodes that were asked.
	asked map[string]bool
}

// storeAnswer is what the topic says, or why it couldn't be read.
type storeAnswer struct {
	view *view
	err  error
}

// peerAnswer is what another node says, or why it didn't.
type peerAnswer struct {
	node  string
	reply Reply
	err   error
}

func (s *search) readStore(ctx context.Context) {
	v, err := s.registry.reader.read(ctx)
	s.stored <- storeAnswer{v, err}
}

func (s *search) run(ctx context.Context) (Resolution, error) {
	service := s.request.Service
	s.votes = ballot{service: service, versions: s.registry.knownVersions(service), hasRead: s.registry.reader.last.Load() != nil}
	s.exclusion = newExclusion()
	if s.registry.table.IsComplete() {
		s.exclusion.denied[incarnation{s.registry.deps.Node, s.registry.deps.Incarnation}] = true
	}
	headStart := time.NewTimer(storeHeadStart)
	defer headStart.Stop()
	select {
	case answer := <-s.stored:
		if found, ok := s.addStore(answer); ok {
			return found, nil
		}
	case <-headStart.C:
	case <-ctx.Done():
		return Resolution{}, errors.Trace(context.Cause(ctx))
	}
	return s.askPeers(ctx)
}

// addStore takes the store's answer into account and reports whether it says where the stream began.
func (s *search) addStore(answer storeAnswer) (Resolution, bool) {
	s.stored = nil
	if answer.err != nil {
		s.votes.lastError = answer.err
		return Resolution{}, false
	}
	service := s.request.Service
	if o, found := answer.view.streams[hashAttempt(s.request.Attempt)]; found && s.request.Attempt != "" {
		return Resolution{o, FromStore}, true
	}
	s.votes.storeAnswered = true
	s.votes.versions = union(answer.view.versions[service], s.registry.listed(service))
	if len(s.votes.versions) == 1 {
		return Resolution{Origin{Service: service, Version: s.votes.versions[0]}, OnlyVersion}, true
	}
	s.exclusion.consider(answer.view, s.request)
	return s.exclusion.conclude()
}

// askPeers asks other nodes while the store may still answer.
func (s *search) askPeers(ctx context.Context) (Resolution, error) {
	peers, known := s.registry.deps.Peers()
	if !known {
		return Resolution{}, errors.New("the other nodes aren't known yet")
	}
	sampled := sample(peers, maxAsked)
	s.votes.asked = len(sampled)
	s.answers, s.asked = make(chan peerAnswer, len(peers)), make(map[string]bool)
	s.ask(ctx, sampled)
	s.askMarked(ctx, peers)
	var grace <-chan time.Time
	patience := time.After(markedPatience)
	for open := len(s.asked); open > 0 || s.stored != nil; {
		_, concluded := s.exclusion.conclude()
		if grace == nil && (concluded || s.votes.hasMajority() && !s.exclusion.isPending(s.asked)) {
			grace = time.After(graceForOthers)
		}
		select {
		case answer := <-s.stored:
			if found, ok := s.addStore(answer); ok {
				return found, nil
			}
			open += s.askMarked(ctx, peers)
		case answer := <-s.answers:
			open--
			if found, ok := s.addPeer(answer); ok {
				return found, nil
			}
		case <-patience:
			s.exclusion.giveUp()
		case <-grace:
			return s.decide()
		case <-ctx.Done():
			return s.decide()
		}
	}
	return s.decide()
}

// decide returns the only version at which the stream can have begun.
func (s *search) decide() (Resolution, error) {
	if found, ok := s.exclusion.conclude(); ok {
		return found, nil
	}
	return s.votes.decide()
}

// ask asks nodes that weren't asked before, and returns how many.
func (s *search) ask(ctx context.Context, peers []Peer) int {
	n := 0
	for _, peer := range peers {
		if s.asked[peer.Node] {
			continue
		}
		n++
		s.asked[peer.Node] = true
		go func() {
			reply, err := s.registry.deps.Transport.Ask(ctx, peer.Address, s.request)
			s.answers <- peerAnswer{peer.Node, reply, err}
		}()
	}
	return n
}

// askMarked asks the nodes that may have begun the stream at another version than the base.
func (s *search) askMarked(ctx context.Context, peers []Peer) int {
	return s.ask(ctx, slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !s.exclusion.awaits(p.Node) }))
}

// addPeer takes another node's answer into account and reports whether it says where the stream began.
func (s *search) addPeer(answer peerAnswer) (Resolution, bool) {
	switch {
	case answer.err != nil:
		s.exclusion.add(answer)
		s.votes.lastError = answer.err
	case answer.reply.Found:
		return Resolution{answer.reply.Origin, FromPeer}, true
	default:
		s.exclusion.add(answer)
		s.votes.add(answer.reply)
		if s.votes.fromStore && len(s.votes.versions) == 1 {
			found, err := s.votes.decide()
			return found, err == nil
		}
	}
	return Resolution{}, false
}
