package node

import (
	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/quarantine"
)

func encodeNews(n quarantine.News) *recordv1.UpstreamCrashes {
	encoded := &recordv1.UpstreamCrashes{PassOn: n.PassOn, BegunAgoMs: uint64(max(0, n.BegunAgoMs)), Answered: fromIDs(n.Answered), AnsweredAgoMs: fromMillis(n.AnsweredAgoMs), Begun: fromIDs(n.Begun)}
	for _, e := range n.Crashes {
		encoded.Crashes = append(encoded.Crashes, encodeCrash(e))
	}
	for _, b := range n.Blocks {
		encoded.Blocks = append(encoded.Blocks, &recordv1.PartBlock{Part: uint64(b.Part), Name: b.Name, Model: b.Model, Blocked: b.Blocked, Account: b.Account,
			Version: b.Version, Trials: uint32(b.Trials), AgoMs: uint64(max(0, b.AgoMs)), By: b.By})
	}
	return encoded
}

func decodeNews(from string, r *recordv1.UpstreamCrashes) quarantine.News {
	n := quarantine.News{Node: from, PassOn: r.GetPassOn(), BegunAgoMs: int64(r.GetBegunAgoMs()), Answered: toIDs(r.GetAnswered()), AnsweredAgoMs: toMillis(r.GetAnsweredAgoMs()), Begun: toIDs(r.GetBegun())}
	for _, e := range r.GetCrashes() {
		n.Crashes = append(n.Crashes, decodeCrash(e))
	}
	for _, b := range r.GetBlocks() {
		n.Blocks = append(n.Blocks, quarantine.Block{Part: quarantine.ID(b.GetPart()), Name: b.GetName(), Model: b.GetModel(), Blocked: b.GetBlocked(), Account: b.GetAccount(),
			Version: b.GetVersion(), Trials: int(b.GetTrials()), AgoMs: int64(b.GetAgoMs()), By: b.GetBy()})
	}
	return n
}

func fromIDs(ids []quarantine.ID) []uint64 {
	numbers := make([]uint64, len(ids))
	for i, id := range ids {
		numbers[i] = uint64(id)
	}
	return numbers
}

func toIDs(numbers []uint64) []quarantine.ID {
	ids := make([]quarantine.ID, len(numbers))
	for i, n := range numbers {
		ids[i] = quarantine.ID(n)
	}
	return ids
}

func fromMillis(ages []int64) []uint64 {
	encoded := make([]uint64, len(ages))
	for i, age := range ages {
		encoded[i] = uint64(max(0, age))
	}
	return encoded
}

func toMillis(ages []uint64) []int64 {
	decoded := make([]int64, len(ages))
	for i, age := range ages {
		decoded[i] = int64(age)
	}
	return decoded
}

func encodeCrash(e quarantine.ToldCrash) *recordv1.UpstreamCrash {
	crash := &recordv1.UpstreamCrash{Id: uint64(e.ID), Request: uint64(e.Request), Upstream: uint64(e.Upstream), Life: uint64(e.Life), Opened: e.Opened, AgoMs: uint64(max(0, e.AgoMs)), SentMs: uint64(max(0, e.SentMs)), Account: e.Account}
	for _, part := range e.Parts {
		crash.Parts = append(crash.Parts, &recordv1.PromptPart{Id: part.ID, Model: part.Model})
	}
	return crash
}

func decodeCrash(e *recordv1.UpstreamCrash) quarantine.ToldCrash {
	crash := quarantine.ToldCrash{ID: quarantine.ID(e.GetId()), Request: quarantine.ID(e.GetRequest()), Upstream: quarantine.ID(e.GetUpstream()), Life: quarantine.ID(e.GetLife()), Opened: e.GetOpened(), AgoMs: int64(e.GetAgoMs()), SentMs: int64(e.GetSentMs()), Account: e.GetAccount()}
	for _, part := range e.GetParts() {
		crash.Parts = append(crash.Parts, quarantine.ToldPart{ID: part.GetId(), Model: part.GetModel()})
	}
	return crash
}

func encodeInquiries(q quarantine.Inquiries) *fleetv1.RequestInquiries {
	encoded := &fleetv1.RequestInquiries{PassOn: q.PassOn}
	for _, one := range q.List {
		inquiry := &fleetv1.RequestInquiry{Request: uint64(one.Request), Permit: uint64(one.Permit)}
		for _, e := range one.Crashes {
			inquiry.Crashes = append(inquiry.Crashes, encodeCrash(e))
		}
		encoded.List = append(encoded.List, inquiry)
	}
	return encoded
}

func decodeInquiries(from string, r *fleetv1.RequestInquiries) quarantine.Inquiries {
	q := quarantine.Inquiries{Node: from, PassOn: r.GetPassOn()}
	for _, one := range r.GetList() {
		inquiry := quarantine.Inquiry{Request: quarantine.ID(one.GetRequest()), Permit: quarantine.ID(one.GetPermit())}
		for _, e := range one.GetCrashes() {
			inquiry.Crashes = append(inquiry.Crashes, decodeCrash(e))
		}
		q.List = append(q.List, inquiry)
	}
	return q
}

func encodeStandings(known []quarantine.Standing) *fleetv1.RequestStandings {
	encoded := &fleetv1.RequestStandings{}
	for _, one := range known {
		standing := &fleetv1.RequestStanding{Sends: uint32(one.Sends), Permits: fromIDs(one.Permits), Answered: one.Answered, AnsweredAgoMs: uint64(max(0, one.AnsweredAgoMs)), Answers: uint32(one.Answers)}
		for _, e := range one.Crashes {
			standing.Crashes = append(standing.Crashes, encodeCrash(e))
		}
		encoded.List = append(encoded.List, standing)
	}
	return encoded
}

func decodeStandings(r *fleetv1.RequestStandings) []quarantine.Standing {
	var known []quarantine.Standing
	for _, one := range r.GetList() {
		standing := quarantine.Standing{Sends: int(one.GetSends()), Permits: toIDs(one.GetPermits()), Answered: one.GetAnswered(), AnsweredAgoMs: int64(one.GetAnsweredAgoMs()), Answers: int(one.GetAnswers())}
		for _, e := range one.GetCrashes() {
			standing.Crashes = append(standing.Crashes, decodeCrash(e))
		}
		known = append(known, standing)
	}
	return known
}
