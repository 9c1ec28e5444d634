package check

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/internal/fake"
)

const (
	armDelay   = 2 * time.Second
	drainDelay = 5 * time.Second
	// settleTime is enough to recover a closed incarnation's shares.
	settleTime = time.Minute
	// recoveryTimeout is how long after the last fault the fleet may take to serve.
	recoveryTimeout  = 5 * time.Minute
	drainTimeout     = 2 * time.Minute
	healPollInterval = time.Second
)

// Steps lists the steps of the matrix.
func Steps() []fake.Step {
	return []fake.Step{
		fake.StepReserve, fake.StepDispatch, fake.StepMidStream, fake.StepLastToken, fake.StepCall,
		fake.StepSettlement, fake.StepAppended, fake.StepShareClaim, fake.StepShareMove, fake.StepPeerReserve,
		fake.StepWitness, fake.StepRecovery, fake.StepCallClaim, fake.StepConfig, fake.StepLease, fake.StepOrder,
		fake.StepSnapshot, fake.StepDrain,
	}
}

// Injection is a fault injected at the nth time that a step is taken.
type Injection struct {
	Fault Fault
	Step  fake.Step
	Nth   int
}

// Cell is one history of the matrix.
type Cell struct {
	Injections []Injection
	Seed       uint64
	// ResumeStreams lets callers whose node died resume at another node with their last
	// event ID.
	ResumeStreams bool
	// AnyStep reports that the steps were drawn from all steps, reached or not.
	AnyStep bool
}

// String names the faults and steps.
func (c Cell) String() string {
	text := ""
	for i, s := range c.Injections {
		if i > 0 {
			text += " + "
		}
		text += fmt.Sprintf("%s at %s", s.Fault.Name, s.Step)
	}
	return text
}

// Run runs the cell and returns its record and whether every fault could be injected.
func (c Cell) Run(clock clockwork.Clock) (*Record, Coverage) { return c.run(clock, nil) }

// run is Run with a setup function, in which a test may install a defect before any node
// starts.
func (c Cell) run(clock clockwork.Clock, setup func(*Harness)) (*Record, Coverage) {
	h := NewHarness(clock, c.Seed)
	if setup != nil {
		setup(h)
	}
	run := &cellRun{harness: h, cell: c}
	record, err := run.execute()
	if err != nil {
		record = &Record{Began: h.began, Stuck: []string{err.Error()}}
	}
	return record, run.coverage()
}

// Coverage reports whether a cell's faults were injected and met a mechanism to test.
type Coverage struct {
	Injected bool
	// Missing names a step or mechanism that no node exercised.
	Missing string
}

type cellRun struct {
	harness *Harness
	cell    Cell

	mu       sync.Mutex
	counts   map[int]int
	injected map[int]bool
	// unhealed counts the injected faults that are not healed yet.
	unhealed int
}

// startFleet starts the nodes and applies the configuration and the first top-ups.
func (r *cellRun) startFleet() error {
	h := r.harness
	r.counts, r.injected = map[int]int{}, map[int]bool{}
	h.sharedPrefixes = r.sharesPrefixes()
	h.resumesStreams = r.resumesStreams()
	if err := h.Start(DefaultTiming(), RegionHome, RegionHome, RegionAway); err != nil {
		return err
	}
	if err := h.ApplyConfig(fixtureResources()...); err != nil {
		return err
	}
	for _, account := range fixtureAccounts {
		h.TopUp(h.Members[0], "first-"+account, budgetOf(account), fixtureTopUps[account])
	}
	return nil
}

func (r *cellRun) execute() (*Record, error) {
	h := r.harness
	defer h.Stop()
	if err := r.startFleet(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	h.Go(func() { h.sampleConfig(done) })
	h.After(armDelay, func() { h.Arm(r.onStep) })
	if r.injectsAt(fake.StepRecovery) {
		h.After(armDelay, r.restartSecondMember)
	}
	if r.injectsAt(fake.StepDrain) {
		h.After(drainDelay, r.drainSecondMember)
	}
	h.workload("first")
	if !r.allInjected() {
		close(done)
		return &Record{Began: h.began}, nil
	}
	if !r.healed() {
		h.clock.Sleep(DefaultTiming().SpendRight)
		h.workload("during")
	}
	r.awaitHealed()
	h.workload("second")
	r.awaitHealed()
	record := r.finish()
	close(done)
	return record, nil
}

// allInjected reports whether every fault met its step. A history in which one did not
// proves nothing and ends early.
func (r *cellRun) allInjected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.injected) == len(r.cell.Injections)
}

func (r *cellRun) healed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unhealed == 0
}

func (r *cellRun) awaitHealed() {
	for !r.healed() {
		r.harness.clock.Sleep(healPollInterval)
	}
}

// interruptsAnswers reports whether one of the faults itself interrupts responses.
func (r *cellRun) interruptsAnswers() bool {
	for _, s := range r.cell.Injections {
		if s.Fault.InterruptsAnswers {
			return true
		}
	}
	return false
}

func (r *cellRun) sharesPrefixes() bool {
	for _, s := range r.cell.Injections {
		if s.Fault.SharedPrefixes {
			return true
		}
	}
	return false
}

func (r *cellRun) resumesStreams() bool {
	for _, s := range r.cell.Injections {
		if s.Fault.ResumesStreams {
			return true
		}
	}
	return r.cell.ResumeStreams
}

// killsEngineAlone reports whether the death of an engine is the only fault.
func (r *cellRun) killsEngineAlone() bool {
	return len(r.cell.Injections) == 1 && r.cell.Injections[0].Fault.KillsEngine
}

func (r *cellRun) injectsAt(step fake.Step) bool {
	for _, s := range r.cell.Injections {
		if s.Step == step {
			return true
		}
	}
	return false
}

// onStep injects each fault once, at its step. It runs within the step, which therefore
// continues under the fault.
func (r *cellRun) onStep(step fake.Step, address string) {
	for i, injection := range r.cell.Injections {
		if injection.Step == step && r.due(i, injection.Nth) {
			r.inject(injection.Fault, r.harness.memberAt(address))
		}
	}
}

func (r *cellRun) due(i, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[i]++
	if r.injected[i] || r.counts[i] < max(1, n) {
		return false
	}
	r.injected[i] = true
	r.unhealed++
	return true
}

func (r *cellRun) inject(f Fault, m *Member) {
	h := r.harness
	f.inject(h, m)
	h.Go(func() {
		h.clock.Sleep(f.Duration)
		if f.heal != nil {
			f.heal(h, m)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unhealed--
	})
}

// restartSecondMember kills and restarts the second member, so that the fleet has something
// to recover.
func (r *cellRun) restartSecondMember() {
	m := r.harness.Members[1]
	m.Kill()
	r.harness.clock.Sleep(restartDelay)
	m.Restart()
}

// drainSecondMember stops the second member gracefully and replaces it.
func (r *cellRun) drainSecondMember() {
	h := r.harness
	m := h.Members[1]
	op := DrainOp{Node: m.Address(), Span: Span{Call: h.since()}}
	h.onStep(fake.StepDrain, m.Address())
	gate, n := m.Gate(), m.Node()
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.clock, drainTimeout)
	defer cancel()
	n.Drain(ctx)
	op.Return = h.since()
	op.Ended = ctx.Err() == nil && m.Gate() == gate && m.Live()
	op.Alone = !r.interruptsAnswers()
	h.History.addDrain(op)
	if m.Gate() == gate {
		m.Kill()
		m.Restart()
	}
}

// finish waits until the fleet has recovered and reads what is in force.
func (r *cellRun) finish() *Record {
	h := r.harness
	h.clock.Sleep(settleTime)
	h.Await(recoveryTimeout, h.allServing)
	var stuck []string
	probes := map[string]Outcome{}
	for i, m := range h.Members {
		if h.readConfig(m).Serving {
			probes[m.Address()] = h.Chat(m, fixtureAccounts[0], fixtureModel, promptOf(fmt.Sprintf("last-%d", i), minWords)).Outcome
			continue
		}
		stuck = append(stuck, fmt.Sprintf("%s (%s)", m.Address(), m.Node().State()))
	}
	h.clock.Sleep(armDelay)
	record := h.collect()
	record.Finals = h.finals(probes)
	record.Stuck = stuck
	record.EngineDiedAlone = r.killsEngineAlone()
	return record
}

func (r *cellRun) coverage() Coverage {
	r.mu.Lock()
	defer r.mu.Unlock()
	coverage := Coverage{Injected: len(r.injected) == len(r.cell.Injections)}
	for i, s := range r.cell.Injections {
		if !r.injected[i] {
			coverage.Missing = string(s.Step)
		}
		for _, need := range s.Fault.Needs {
			if r.harness.StepCount(need) == 0 {
				coverage.Missing = string(need)
			}
		}
		if s.Fault.NeedsInstanceList && !r.harness.instanceListQueried() {
			coverage.Missing = "instance list"
		}
	}
	return coverage
}

func (h *Harness) memberAt(address string) *Member {
	for _, m := range h.Members {
		if m.Address() == address {
			return m
		}
	}
	return nil
}

func (h *Harness) instanceListQueried() bool {
	for _, m := range h.Members {
		if m.instances.ListCalls() > 0 {
			return true
		}
	}
	return false
}
