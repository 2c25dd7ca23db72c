package quota

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"testing"
	"time"

	"wheatspur/wire"
)

// model simulates a key-value store and controllers that have each read a part of its
// changes. Writes are delivered in any order, responses get lost, and writes may be
// applied late. The invariants are checked on the stored state only.
type model struct {
	team           string
	now            time.Time
	revision       uint64
	log            []change
	versions       map[string]uint64
	claims         map[string]claim
	record         wire.Raw
	membership     membership
	controllers    map[string]*modelController
	inFlight       []*write // decided on, not yet applied
	abandoned      []*write // their controllers no longer wait for a response; they may still be applied
	claimCount     int
	unused         Amount // of a donor's share, after the needs of its own work
	ignoreCompares bool   // an injected fault: writes are applied even if their compares fail
	violation      error  // the first violation of an invariant
}

// claim is a stored claim on a machine.
type claim struct {
	machine int
	amount  Amount
}

// membership is the stored membership.
type membership struct {
	token   uint64
	leader  string
	members []string
}

// owner returns the member that owns a machine.
func (m membership) owner(machine int) string { return m.members[machine%len(m.members)] }

// Keys of the model's key-value store.
const (
	membershipKey = "member"
	recordKey     = "record"
)

// change is a stored change of one key.
type change struct {
	key      string
	revision uint64
	claim    *claim // value of the key of a claim; nil: the claim is released
	record   wire.Raw
	members  membership
}

// write is a compare-and-swap of one or more keys.
type write struct {
	controller  *modelController
	compares    map[string]uint64
	changes     []change
	limit       Amount     // the limit that the controller decided under
	admission   *Admission // set for a write of claims
	recordWrite *Write     // set for a write of the record by Rebalance or Transfer
}

// modelController is a process of a controller, including its cache.
type modelController struct {
	label         string
	manager       *Manager
	readCount     int // number of changes of the log that it has read
	revision      uint64
	newestApplied uint64 // the latest revision that it has applied, including its own writes
	versions      map[string]uint64
	claims        map[string]claim
	membership    membership
	limit         Amount
}

func newModel(limit Amount, nodes ...string) *model {
	m := &model{team: "x", now: time.Unix(1000, 0), unused: Amount{CPUs: 1e9, GPUs: 1e9}, versions: map[string]uint64{}, claims: map[string]claim{}, controllers: map[string]*modelController{}}
	for _, label := range nodes {
		m.startController(label, limit)
	}
	m.setMembership(nodes, nodes[0])
	return m
}

// startController starts a process of a controller that has read nothing yet.
func (m *model) startController(label string, limit Amount) {
	n := &modelController{label: label, manager: &Manager{}, versions: map[string]uint64{}, claims: map[string]claim{}}
	n.configure(m.team, limit)
	m.controllers[label] = n
}

// configure sets the team's limit at the controller.
func (n *modelController) configure(team string, limit Amount) {
	n.limit = limit
	n.manager.Configure([]Team{{Name: team, Limit: limit}}, Options{Transfers: true})
}

// restart replaces a controller's process by a new one. Writes of the old process may
// still arrive.
func (m *model) restart(label string) {
	old := m.controllers[label]
	remaining := m.inFlight[:0]
	for _, w := range m.inFlight {
		if w.controller == old {
			m.abandoned = append(m.abandoned, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	m.inFlight = remaining
	m.startController(label, old.limit)
	m.setMembership(m.membership.members, m.membership.leader)
}

// setMembership stores a membership with the next fencing token.
func (m *model) setMembership(nodes []string, leader string) {
	m.membership = membership{m.membership.token + 1, leader, slices.Clone(nodes)}
	m.storeChanges([]change{{key: membershipKey, members: m.membership}})
}

func (m *model) storeChanges(changes []change) {
	m.revision++
	for _, c := range changes {
		c.revision = m.revision
		m.log = append(m.log, c)
		m.versions[c.key] = m.revision
		switch {
		case c.key == recordKey:
			m.record = c.record
		case c.key == membershipKey:
		case c.claim == nil:
			delete(m.claims, c.key)
		default:
			m.claims[c.key] = *c.claim
		}
	}
}

// applyWrite applies a write if its compares hold, and checks the invariants.
func (m *model) applyWrite(w *write) bool {
	for key, version := range w.compares {
		if m.versions[key] != version && !m.ignoreCompares {
			return false
		}
	}
	m.storeChanges(w.changes)
	if err := m.checkInvariants(w); err != nil && m.violation == nil {
		m.violation = err
	}
	return true
}

// claimedByController returns what the stored claims on each controller's machines take.
func claimedByController(team string, claims map[string]claim, members membership) ClaimedByController {
	claimed := ClaimedByController{}
	for _, c := range claims {
		owner := members.owner(c.machine)
		if claimed[owner] == nil {
			claimed[owner] = map[string]Amount{}
		}
		claimed[owner][team] = claimed[owner][team].Add(c.amount)
	}
	return claimed
}

// checkInvariants checks the stored state after a write: the claims must not exceed the
// limit that they were decided under, nor any controller's claims its share.
func (m *model) checkInvariants(w *write) error {
	claimed := claimedByController(m.team, m.claims, m.membership)
	if total := claimed.Total(m.team); w.admission != nil && !total.WithinLimit(w.limit) {
		return fmt.Errorf("claims of %+v after an admission by %s exceed the limit %+v", total, w.controller.label, w.limit)
	}
	var record Record
	if m.record == nil || wire.Unmarshal(m.record, &record) != nil || record.FencingToken != m.membership.token || record.Frozen {
		return nil
	}
	for label, byTeam := range claimed {
		if share := record.Shares[label].Amount(); !byTeam[m.team].fits(share, w.limit) {
			return fmt.Errorf("%s has claims of %+v, which exceed its share %+v", label, byTeam[m.team], share)
		}
	}
	return nil
}

// readTo lets a controller read the first count changes of the log. Changes of a key that
// are older than what the controller knows of it, from its own write, are ignored.
func (n *modelController) readTo(log []change, count int) {
	for ; n.readCount < count; n.readCount++ {
		n.applyChange(log[n.readCount])
		n.revision = log[n.readCount].revision
	}
}

func (n *modelController) applyChange(c change) {
	if c.revision <= n.versions[c.key] {
		return
	}
	n.versions[c.key], n.newestApplied = c.revision, max(n.newestApplied, c.revision)
	switch {
	case c.key == recordKey:
		_ = n.manager.Apply("x", c.record, c.revision)
	case c.key == membershipKey:
		n.membership = c.members
	case c.claim == nil:
		delete(n.claims, c.key)
	default:
		n.claims[c.key] = *c.claim
	}
}

// Version, Revision and NewestRevision implement Cache.

func (n *modelController) Version(key string) uint64 { return n.versions[key] }
func (n *modelController) Revision() uint64          { return n.revision }
func (n *modelController) NewestRevision() uint64    { return max(n.revision, n.newestApplied) }

func (n *modelController) view(team string) View {
	return View{Self: n.label, Leader: n.membership.leader, Members: n.membership.members, FencingToken: n.membership.token,
		Claimed: claimedByController(team, n.claims, n.membership), Revision: n.revision}
}

// isMember reports whether the controller is a member, according to what it has read.
func (n *modelController) isMember() bool { return slices.Contains(n.membership.members, n.label) }

// compares returns the versions that every write for the team compares.
func (n *modelController) compares() map[string]uint64 {
	return map[string]uint64{membershipKey: n.versions[membershipKey], recordKey: n.versions[recordKey]}
}

// admit lets a controller decide on a claim on a machine. It returns nil if the
// controller may not admit the claim.
func (m *model) admit(n *modelController, machine int, amount Amount) *write {
	ledger := n.manager.Ledger(m.team)
	ledger.DropResolvedAdmissions(n)
	if !n.isMember() {
		return nil
	}
	var onOthers map[string]Amount
	if owner := n.membership.owner(machine); owner != n.label {
		if n.membership.leader != n.label {
			return nil
		}
		onOthers = map[string]Amount{owner: amount}
	}
	admission, err := ledger.Admit(n.view(m.team), amount, onOthers)
	if err != nil {
		return nil
	}
	m.claimCount++
	key := fmt.Sprintf("claim/%d", m.claimCount)
	w := &write{controller: n, compares: n.compares(), limit: n.limit, admission: admission,
		changes: []change{{key: key, claim: &claim{machine, amount}}}}
	w.compares[key] = 0
	if admission.NextRecord != nil {
		w.changes = append(w.changes, change{key: recordKey, record: wire.MustMarshal(*admission.NextRecord)})
	}
	m.inFlight = append(m.inFlight, w)
	return w
}

// rebalance lets a controller that considers itself the leader rebalance the shares. It
// returns nil if there is nothing to do.
func (m *model) rebalance(n *modelController, pending iter.Seq[Amount], shortage bool) *write {
	if !n.isMember() || n.membership.leader != n.label {
		return nil
	}
	ledger := n.manager.Ledger(m.team)
	ledger.RecordShortage(shortage, m.now, n.membership.token)
	m.now = m.now.Add(4 * time.Second)
	return m.sendRecordWrite(n, ledger.Rebalance(m.now, n.view(m.team), pending, true))
}

// transfer lets a controller transfer part of its share. It returns nil if the controller
// makes no transfer.
func (m *model) transfer(n *modelController, recipient string, shortfall Amount) *write {
	if !n.isMember() {
		return nil
	}
	m.now = m.now.Add(time.Second)
	v := n.view(m.team)
	ledger := n.manager.Ledger(m.team)
	ledger.DropResolvedAdmissions(n)
	return m.sendRecordWrite(n, ledger.Transfer(m.now, v, recipient, shortfall, m.unused))
}

// sendRecordWrite puts a write of the record in flight.
func (m *model) sendRecordWrite(n *modelController, decided *Write) *write {
	if decided == nil {
		return nil
	}
	w := &write{controller: n, compares: n.compares(), limit: n.limit, recordWrite: decided,
		changes: []change{{key: recordKey, record: wire.MustMarshal(decided.Record)}}}
	m.inFlight = append(m.inFlight, w)
	return w
}

// deliver applies a write that is in flight and responds to its controller.
func (m *model) deliver(w *write) {
	m.removeInFlight(w)
	if m.applyWrite(w) {
		m.respond(w, OutcomeStored)
	} else {
		m.respond(w, OutcomeNotStored)
	}
}

// loseResponse ends a write without a response. If it is not applied now, it may be later.
func (m *model) loseResponse(w *write, applied bool) {
	m.removeInFlight(w)
	if applied {
		m.applyWrite(w)
	} else {
		m.abandoned = append(m.abandoned, w)
	}
	m.respond(w, OutcomeUnknown)
}

func (m *model) removeInFlight(w *write) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *write) bool { return o == w })
}

// respond tells a controller the outcome of its write.
func (m *model) respond(w *write, outcome Outcome) {
	n := w.controller
	if outcome == OutcomeStored {
		for _, c := range w.changes {
			c.revision = m.revision
			n.applyChange(c)
		}
	} else {
		n.readTo(m.log, len(m.log)) // the controller reads the current state before it goes on
	}
	ledger := n.manager.Ledger(m.team)
	if w.recordWrite != nil {
		ledger.ResolveWrite(w.recordWrite, outcome, w.compares)
	}
	if w.admission != nil {
		ledger.ResolveAdmission(w.admission, outcome, w.compares)
	}
}

// release deletes a stored claim.
func (m *model) release(key string) { m.storeChanges([]change{{key: key}}) }

// storeRaw stores arbitrary bytes as the record.
func (m *model) storeRaw(raw wire.Raw) { m.storeChanges([]change{{key: recordKey, record: raw}}) }

// claimKeys returns the keys of the stored claims, sorted.
func (m *model) claimKeys() []string { return slices.Sorted(maps.Keys(m.claims)) }

// deliverAll delivers every write in flight.
func (m *model) deliverAll() {
	for len(m.inFlight) > 0 {
		m.deliver(m.inFlight[0])
	}
}

// readAll lets every controller read all changes.
func (m *model) readAll() {
	for _, n := range m.controllers {
		n.readTo(m.log, len(m.log))
	}
}

// converge applies all writes, lets every controller read all changes, and lets the leader
// rebalance, in enough rounds for the shares to become stable.
func (m *model) converge() {
	for _, w := range m.abandoned {
		m.applyWrite(w)
	}
	m.abandoned = nil
	for round := range 8 {
		m.deliverAll()
		for _, n := range m.controllers {
			n.readTo(m.log, len(m.log))
			n.manager.Ledger(m.team).DropResolvedAdmissions(n)
		}
		m.rebalance(m.controllers[m.membership.leader], onePendingUnit, round < 4)
	}
	m.deliverAll()
	m.readAll()
}

// noPendingWork yields no waiting jobs.
func noPendingWork(func(Amount) bool) {}

// onePendingUnit yields one waiting job that takes one unit.
func onePendingUnit(yield func(Amount) bool) { yield(Amount{GPUs: 1}) }

// newSharedModel returns a model in which the limit has been divided and all controllers
// have read their shares.
func newSharedModel(t *testing.T, gpus float64, labels ...string) *model {
	t.Helper()
	m := newModel(Amount{GPUs: gpus}, labels...)
	m.converge()
	for _, n := range m.controllers {
		if phase := n.manager.Ledger(m.team).Phase(m.membership.token); phase != Shared {
			t.Fatalf("phase %s at %s", phase, n.label)
		}
	}
	return m
}

// tryAdmit lets a controller claim one unit on a machine if it may.
func (m *model) tryAdmit(label string, machine int) {
	if w := m.admit(m.controllers[label], machine, Amount{GPUs: 1}); w != nil {
		m.deliver(w)
	}
}

// mustAdmit lets a controller decide on a claim of one unit, and fails if it may not.
func (m *model) mustAdmit(t *testing.T, label string, machine int) *write {
	t.Helper()
	w := m.admit(m.controllers[label], machine, Amount{GPUs: 1})
	if w == nil {
		t.Fatalf("%s does not admit a claim on machine %d", label, machine)
	}
	return w
}

// The invariant checker must detect a violation, here with a store that ignores compares.
func TestInvariantCheckerDetectsViolations(t *testing.T) {
	m := newSharedModel(t, 4, "a", "b")
	m.ignoreCompares = true
	stale := m.mustAdmit(t, "b", 1)
	m.restart("b")
	m.converge()
	for range 4 {
		m.tryAdmit("a", 0)
		m.tryAdmit("b", 1)
	}
	for range 3 {
		stale.changes[0].key += "again" // the same claim, applied several times under different keys
		m.applyWrite(stale)
	}
	if m.violation == nil {
		t.Fatalf("%d claims under a limit of 4 were not detected as a violation", len(m.claims))
	}
}
