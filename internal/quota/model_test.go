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

// model is a key-value store, and controllers that each have read a part of what
// is stored. Writes are delivered in any order, their answers get lost, and they
// may be applied late. The checker sees stored changes only.
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
	inFlight       []*write // decided on; not applied yet
	abandoned      []*write // their controller has given up on them
	claimCount     int
	unused         Amount // of a giver's share by its own work
	ignoreCompares bool   // a planted fault: writes are applied whatever their compares say
	violation      error  // the first violation that the checker saw
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

// owner is the member that a machine is hashed to.
func (m membership) owner(machine int) string { return m.members[machine%len(m.members)] }

// Keys of the model's key-value store.
const (
	membershipKey = "member"
	recordKey     = "record"
)

// change is one stored change of one key.
type change struct {
	key      string
	revision uint64
	claim    *claim // of a claim's key; nil: released
	record   wire.Raw
	members  membership
}

// write is a compare-and-swap.
type write struct {
	controller  *modelController
	compares    map[string]uint64
	changes     []change
	limit       Amount     // that the controller decided under
	admission   *Admission // of claims
	recordWrite *Write     // of the leader's shares, or a transfer
}

// modelController is a process of a controller, with its cache.
type modelController struct {
	label          string
	manager        *Manager
	readCount      int // changes of the log that it has read
	revision       uint64
	newestOwnWrite uint64 // of its own writes
	versions       map[string]uint64
	claims         map[string]claim
	membership     membership
	limit          Amount
}

func newModel(limit Amount, nodes ...string) *model {
	m := &model{team: "x", now: time.Unix(1000, 0), unused: Amount{CPUs: 1e9, GPUs: 1e9}, versions: map[string]uint64{}, claims: map[string]claim{}, controllers: map[string]*modelController{}}
	for _, label := range nodes {
		m.startController(label, limit)
	}
	m.setMembership(nodes, nodes[0])
	return m
}

// startController begins a process of a controller, which has read nothing.
func (m *model) startController(label string, limit Amount) {
	n := &modelController{label: label, manager: &Manager{}, versions: map[string]uint64{}, claims: map[string]claim{}}
	n.configure(m.team, limit)
	m.controllers[label] = n
}

// configure gives the controller a limit of the team.
func (n *modelController) configure(team string, limit Amount) {
	n.limit = limit
	n.manager.Configure([]Team{{Name: team, Limit: limit}}, Options{Transfers: true})
}

// restart ends a controller's process and begins another; the writes of the
// former one may still arrive.
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

// applyWrite carries a write out if its compares hold, and checks the invariants.
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

// claimedByController is what the stored claims on each controller's machines take.
func claimedByController(team string, claims map[string]claim, members membership) ClaimedByNode {
	claimed := ClaimedByNode{}
	for _, c := range claims {
		owner := members.owner(c.machine)
		if claimed[owner] == nil {
			claimed[owner] = map[string]Amount{}
		}
		claimed[owner][team] = claimed[owner][team].Add(c.amount)
	}
	return claimed
}

// checkInvariants looks at what is stored after a write: claims stay within the
// limit that they were decided under, and each controller's within its share.
func (m *model) checkInvariants(w *write) error {
	claimed := claimedByController(m.team, m.claims, m.membership)
	if total := claimed.Of(m.team); w.admission != nil && !total.Within(w.limit) {
		return fmt.Errorf("claims of %+v after an admission by %s under a limit of %+v", total, w.controller.label, w.limit)
	}
	var record Record
	if m.record == nil || wire.Unmarshal(m.record, &record) != nil || record.FencingToken != m.membership.token || record.Frozen {
		return nil
	}
	for label, byTeam := range claimed {
		if share := record.Shares[label].Amount(); !byTeam[m.team].fits(share, w.limit) {
			return fmt.Errorf("%s has claims of %+v, its share is %+v", label, byTeam[m.team], share)
		}
	}
	return nil
}

// readTo lets a controller read the log up to some change of it. A later change of a
// key that it knows already, as its own write, stays.
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
	n.versions[c.key], n.newestOwnWrite = c.revision, max(n.newestOwnWrite, c.revision)
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

// Version, Revision and NewestRevision are those of the controller's cache.

func (n *modelController) Version(key string) uint64 { return n.versions[key] }
func (n *modelController) Revision() uint64          { return n.revision }
func (n *modelController) NewestRevision() uint64    { return max(n.revision, n.newestOwnWrite) }

func (n *modelController) view(team string) View {
	return View{Self: n.label, Leader: n.membership.leader, Nodes: n.membership.members, FencingToken: n.membership.token,
		Claimed: claimedByController(team, n.claims, n.membership), Revision: n.revision}
}

// isMember reports whether the controller, as far as it has read, is a member.
func (n *modelController) isMember() bool { return slices.Contains(n.membership.members, n.label) }

// compares is what every write of the team compares.
func (n *modelController) compares() map[string]uint64 {
	return map[string]uint64{membershipKey: n.versions[membershipKey], recordKey: n.versions[recordKey]}
}

// admit lets a controller decide on a claim on a machine; nil if it may not.
func (m *model) admit(n *modelController, machine int, amount Amount) *write {
	ledger := n.manager.Ledger(m.team)
	ledger.Forget(n)
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
	if admission.Next != nil {
		w.changes = append(w.changes, change{key: recordKey, record: wire.MustMarshal(*admission.Next)})
	}
	m.inFlight = append(m.inFlight, w)
	return w
}

// rebalance lets a controller that takes itself for the leader share out; nil if
// there is nothing to do.
func (m *model) rebalance(n *modelController, pending iter.Seq[Amount], shortage bool) *write {
	if !n.isMember() || n.membership.leader != n.label {
		return nil
	}
	ledger := n.manager.Ledger(m.team)
	ledger.RecordShortage(shortage, m.now, n.membership.token)
	m.now = m.now.Add(4 * time.Second)
	return m.sendRecordWrite(n, ledger.Rebalance(m.now, n.view(m.team), pending, true))
}

// transfer lets a controller give part of its share; nil if it does not.
func (m *model) transfer(n *modelController, recipient string, shortfall Amount) *write {
	if !n.isMember() {
		return nil
	}
	m.now = m.now.Add(time.Second)
	v := n.view(m.team)
	ledger := n.manager.Ledger(m.team)
	ledger.Forget(n)
	return m.sendRecordWrite(n, ledger.Transfer(m.now, v, recipient, shortfall, m.unused))
}

// sendRecordWrite sends a write of the record on its way.
func (m *model) sendRecordWrite(n *modelController, decided *Write) *write {
	if decided == nil {
		return nil
	}
	w := &write{controller: n, compares: n.compares(), limit: n.limit, recordWrite: decided,
		changes: []change{{key: recordKey, record: wire.MustMarshal(decided.Record)}}}
	m.inFlight = append(m.inFlight, w)
	return w
}

// deliver applies a write that is in flight and answers its controller.
func (m *model) deliver(w *write) {
	m.removeInFlight(w)
	if m.applyWrite(w) {
		m.respond(w, Stored)
	} else {
		m.respond(w, Failed)
	}
}

// loseResponse lets a write go without an answer: applied now, or perhaps later.
func (m *model) loseResponse(w *write, applied bool) {
	m.removeInFlight(w)
	if applied {
		m.applyWrite(w)
	} else {
		m.abandoned = append(m.abandoned, w)
	}
	m.respond(w, Unknown)
}

func (m *model) removeInFlight(w *write) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *write) bool { return o == w })
}

// respond tells a controller what became of its write.
func (m *model) respond(w *write, outcome Outcome) {
	n := w.controller
	if outcome == Stored {
		for _, c := range w.changes {
			c.revision = m.revision
			n.applyChange(c)
		}
	} else {
		n.readTo(m.log, len(m.log)) // what is stored now decides
	}
	ledger := n.manager.Ledger(m.team)
	if w.recordWrite != nil {
		ledger.ResolveWrite(w.recordWrite, outcome, w.compares)
	}
	if w.admission != nil {
		ledger.ResolveAdmission(w.admission, outcome, w.compares)
	}
}

// release ends a stored claim.
func (m *model) release(key string) { m.storeChanges([]change{{key: key}}) }

// storeRaw stores something else in the record's place.
func (m *model) storeRaw(raw wire.Raw) { m.storeChanges([]change{{key: recordKey, record: raw}}) }

// claimKeys lists the stored claims, in order.
func (m *model) claimKeys() []string { return slices.Sorted(maps.Keys(m.claims)) }

// deliverAll lets every write in flight arrive.
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

// converge lets every write arrive and every controller read, and the leader share
// out until nothing changes.
func (m *model) converge() {
	for _, w := range m.abandoned {
		m.applyWrite(w)
	}
	m.abandoned = nil
	for round := range 8 {
		m.deliverAll()
		for _, n := range m.controllers {
			n.readTo(m.log, len(m.log))
			n.manager.Ledger(m.team).Forget(n)
		}
		m.rebalance(m.controllers[m.membership.leader], onePendingUnit, round < 4)
	}
	m.deliverAll()
	m.readAll()
}

// noPendingWork is no waiting work.
func noPendingWork(func(Amount) bool) {}

// onePendingUnit is a waiting job that takes one unit.
func onePendingUnit(yield func(Amount) bool) { yield(Amount{GPUs: 1}) }

// newSharedModel is a model whose limit has been shared out to all controllers, which
// have read it.
func newSharedModel(t *testing.T, gpus float64, labels ...string) *model {
	t.Helper()
	m := newModel(Amount{GPUs: gpus}, labels...)
	m.converge()
	for _, n := range m.controllers {
		if phase := n.manager.Ledger(m.team).Phase(m.membership.token); phase != Shared {
			t.Fatalf("the shares are %s at %s", phase, n.label)
		}
	}
	return m
}

// tryAdmit lets a controller claim one unit on a machine, if it may.
func (m *model) tryAdmit(label string, machine int) {
	if w := m.admit(m.controllers[label], machine, Amount{GPUs: 1}); w != nil {
		m.deliver(w)
	}
}

// mustAdmit lets a controller decide on a claim of one unit.
func (m *model) mustAdmit(t *testing.T, label string, machine int) *write {
	t.Helper()
	w := m.admit(m.controllers[label], machine, Amount{GPUs: 1})
	if w == nil {
		t.Fatalf("%s admits nothing on machine %d", label, machine)
	}
	return w
}

// The checker must see a violation: here the key-value store ignores compares.
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
		stale.changes[0].key += "again" // the same claim, carried out several times
		m.applyWrite(stale)
	}
	if m.violation == nil {
		t.Fatalf("%d claims of a limit of 4 went unseen", len(m.claims))
	}
}
