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

// model is a state service, and nodes that each have read a part of what is
// stored. Writes are delivered in any order, their answers get lost, and they
// may be applied late. The checker sees stored changes only.
type model struct {
	team     string
	now      time.Time
	revision uint64
	log      []change
	versions map[string]uint64
	claims   map[string]claim
	record   wire.Raw
	members  membership
	nodes    map[string]*modelNode
	waiting  []*write // decided on; not applied yet
	late     []*write // their node has given up on them
	serial   int
	unused   Amount // of a giver's share by its own work
	unsafe   bool   // a planted fault: writes are applied whatever their guards say
	broken   error  // the first violation that the checker saw
}

// claim is a stored claim on a machine.
type claim struct {
	machine int
	amount  Amount
}

// membership is the stored membership.
type membership struct {
	token  uint64
	leader string
	nodes  []string
}

// owner is the member that a machine is hashed to.
func (m membership) owner(machine int) string { return m.nodes[machine%len(m.nodes)] }

// Keys of the model's state service.
const (
	memberKey = "member"
	recordKey = "record"
)

// change is one stored change of one key.
type change struct {
	key      string
	revision uint64
	claim    *claim // of a claim's key; nil: released
	record   wire.Raw
	members  membership
}

// write is a guarded transaction.
type write struct {
	node      *modelNode
	guards    map[string]uint64
	changes   []change
	limit     Amount     // that the node decided under
	admission *Admission // of claims
	shares    *Write     // of the leader's shares, or a transfer
}

// modelNode is a process of a node, with its cache.
type modelNode struct {
	label    string
	book     *Manager
	read     int // changes of the log that it has read
	revision uint64
	newest   uint64 // of its own writes
	versions map[string]uint64
	claims   map[string]claim
	members  membership
	limit    Amount
}

func newModel(limit Amount, nodes ...string) *model {
	m := &model{team: "x", now: time.Unix(1000, 0), unused: Amount{CPUs: 1e9, GPUs: 1e9}, versions: map[string]uint64{}, claims: map[string]claim{}, nodes: map[string]*modelNode{}}
	for _, label := range nodes {
		m.start(label, limit)
	}
	m.join(nodes, nodes[0])
	return m
}

// start begins a process of a node, which has read nothing.
func (m *model) start(label string, limit Amount) {
	n := &modelNode{label: label, book: &Manager{}, versions: map[string]uint64{}, claims: map[string]claim{}}
	n.configure(m.team, limit)
	m.nodes[label] = n
}

// configure gives the node a limit of the team.
func (n *modelNode) configure(team string, limit Amount) {
	n.limit = limit
	n.book.Configure([]Team{{Name: team, Limit: limit}}, Options{Transfers: true})
}

// restart ends a node's process and begins another; the writes of the former
// one may still arrive.
func (m *model) restart(label string) {
	old := m.nodes[label]
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		if w.node == old {
			m.late = append(m.late, w)
		} else {
			kept = append(kept, w)
		}
	}
	m.waiting = kept
	m.start(label, old.limit)
	m.join(m.members.nodes, m.members.leader)
}

// join stores a membership with the next token.
func (m *model) join(nodes []string, leader string) {
	m.members = membership{m.members.token + 1, leader, slices.Clone(nodes)}
	m.store([]change{{key: memberKey, members: m.members}})
}

func (m *model) store(changes []change) {
	m.revision++
	for _, c := range changes {
		c.revision = m.revision
		m.log = append(m.log, c)
		m.versions[c.key] = m.revision
		switch {
		case c.key == recordKey:
			m.record = c.record
		case c.key == memberKey:
		case c.claim == nil:
			delete(m.claims, c.key)
		default:
			m.claims[c.key] = *c.claim
		}
	}
}

// apply carries a write out if its guards hold, and lets the checker look.
func (m *model) apply(w *write) bool {
	for key, version := range w.guards {
		if m.versions[key] != version && !m.unsafe {
			return false
		}
	}
	m.store(w.changes)
	if err := m.check(w); err != nil && m.broken == nil {
		m.broken = err
	}
	return true
}

// held is what the stored claims on each node's machines take.
func held(team string, claims map[string]claim, members membership) ClaimedByNode {
	out := ClaimedByNode{}
	for _, c := range claims {
		owner := members.owner(c.machine)
		if out[owner] == nil {
			out[owner] = map[string]Amount{}
		}
		out[owner][team] = out[owner][team].Add(c.amount)
	}
	return out
}

// check looks at what is stored after a write: claims stay within the limit that
// they were decided under, and each node's within its share.
func (m *model) check(w *write) error {
	holdings := held(m.team, m.claims, m.members)
	if total := holdings.Of(m.team); w.admission != nil && !total.Within(w.limit) {
		return fmt.Errorf("claims of %+v after an admission by %s under a limit of %+v", total, w.node.label, w.limit)
	}
	var record Record
	if m.record == nil || wire.Unmarshal(m.record, &record) != nil || record.FencingToken != m.members.token || record.Frozen {
		return nil
	}
	for node, teams := range holdings {
		if share := record.Shares[node].Amount(); !teams[m.team].fits(share, w.limit) {
			return fmt.Errorf("%s holds %+v, its share is %+v", node, teams[m.team], share)
		}
	}
	return nil
}

// readTo lets a node read the log up to some change of it. A later change of a
// key that it knows already, as its own write, stays.
func (n *modelNode) readTo(log []change, count int) {
	for ; n.read < count; n.read++ {
		n.enter(log[n.read])
		n.revision = log[n.read].revision
	}
}

func (n *modelNode) enter(c change) {
	if c.revision <= n.versions[c.key] {
		return
	}
	n.versions[c.key], n.newest = c.revision, max(n.newest, c.revision)
	switch {
	case c.key == recordKey:
		_ = n.book.Apply("x", c.record, c.revision)
	case c.key == memberKey:
		n.members = c.members
	case c.claim == nil:
		delete(n.claims, c.key)
	default:
		n.claims[c.key] = *c.claim
	}
}

// Version, Revision and Newest are those of the node's cache.
func (n *modelNode) Version(key string) uint64 { return n.versions[key] }
func (n *modelNode) Revision() uint64          { return n.revision }
func (n *modelNode) NewestRevision() uint64    { return max(n.revision, n.newest) }

func (n *modelNode) view(team string) View {
	return View{Self: n.label, Leader: n.members.leader, Nodes: n.members.nodes, FencingToken: n.members.token,
		Claimed: held(team, n.claims, n.members), Revision: n.revision}
}

// member reports whether the node, as far as it has read, is a member.
func (n *modelNode) member() bool { return slices.Contains(n.members.nodes, n.label) }

// guards are those of every write of the team.
func (n *modelNode) guards() map[string]uint64 {
	return map[string]uint64{memberKey: n.versions[memberKey], recordKey: n.versions[recordKey]}
}

// admit lets a node decide on a claim on a machine; nil if it may not.
func (m *model) admit(n *modelNode, machine int, amount Amount) *write {
	ledger := n.book.Ledger(m.team)
	ledger.Forget(n)
	if !n.member() {
		return nil
	}
	var others map[string]Amount
	if owner := n.members.owner(machine); owner != n.label {
		if n.members.leader != n.label {
			return nil
		}
		others = map[string]Amount{owner: amount}
	}
	admission, err := ledger.Admit(n.view(m.team), amount, others)
	if err != nil {
		return nil
	}
	m.serial++
	key := fmt.Sprintf("claim/%d", m.serial)
	w := &write{node: n, guards: n.guards(), limit: n.limit, admission: admission,
		changes: []change{{key: key, claim: &claim{machine, amount}}}}
	w.guards[key] = 0
	if admission.Next != nil {
		w.changes = append(w.changes, change{key: recordKey, record: wire.MustMarshal(*admission.Next)})
	}
	m.waiting = append(m.waiting, w)
	return w
}

// redistribute lets a node that holds itself for the leader share out; nil if
// there is nothing to do.
func (m *model) redistribute(n *modelNode, pending iter.Seq[Amount], short bool) *write {
	if !n.member() || n.members.leader != n.label {
		return nil
	}
	ledger := n.book.Ledger(m.team)
	ledger.RecordShortage(short, m.now, n.members.token)
	m.now = m.now.Add(4 * time.Second)
	return m.sendShares(n, ledger.Rebalance(m.now, n.view(m.team), pending, true))
}

// transfer lets a node give part of its share; nil if it does not.
func (m *model) transfer(n *modelNode, taker string, lack Amount) *write {
	if !n.member() {
		return nil
	}
	m.now = m.now.Add(time.Second)
	v := n.view(m.team)
	ledger := n.book.Ledger(m.team)
	ledger.Forget(n)
	return m.sendShares(n, ledger.Transfer(m.now, v, taker, lack, m.unused))
}

// sendShares sends a write of the record on its way.
func (m *model) sendShares(n *modelNode, decided *Write) *write {
	if decided == nil {
		return nil
	}
	w := &write{node: n, guards: n.guards(), limit: n.limit, shares: decided,
		changes: []change{{key: recordKey, record: wire.MustMarshal(decided.Record)}}}
	m.waiting = append(m.waiting, w)
	return w
}

// deliver applies a waiting write and answers its node.
func (m *model) deliver(w *write) {
	m.drop(w)
	if m.apply(w) {
		m.answer(w, Stored)
	} else {
		m.answer(w, Failed)
	}
}

// lose lets a write go without an answer: applied now, or perhaps later.
func (m *model) lose(w *write, applied bool) {
	m.drop(w)
	if applied {
		m.apply(w)
	} else {
		m.late = append(m.late, w)
	}
	m.answer(w, Unknown)
}

func (m *model) drop(w *write) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o *write) bool { return o == w })
}

// answer tells a node what became of its write.
func (m *model) answer(w *write, outcome Outcome) {
	n := w.node
	if outcome == Stored {
		for _, c := range w.changes {
			c.revision = m.revision
			n.enter(c)
		}
	} else {
		n.readTo(m.log, len(m.log)) // what is stored now decides
	}
	ledger := n.book.Ledger(m.team)
	if w.shares != nil {
		ledger.ResolveWrite(w.shares, outcome, w.guards)
	}
	if w.admission != nil {
		ledger.ResolveAdmission(w.admission, outcome, w.guards)
	}
}

// release ends a stored claim.
func (m *model) release(key string) { m.store([]change{{key: key}}) }

// damage stores something else in the record's place.
func (m *model) damage(raw wire.Raw) { m.store([]change{{key: recordKey, record: raw}}) }

// keys lists the stored claims, in order.
func (m *model) keys() []string { return slices.Sorted(maps.Keys(m.claims)) }

// settle lets every write arrive and every node read, and the leader share out
// until nothing changes.
func (m *model) settle() {
	for _, w := range m.late {
		m.apply(w)
	}
	m.late = nil
	for round := range 8 {
		for len(m.waiting) > 0 {
			m.deliver(m.waiting[0])
		}
		for _, n := range m.nodes {
			n.readTo(m.log, len(m.log))
			n.book.Ledger(m.team).Forget(n)
		}
		m.redistribute(m.nodes[m.members.leader], oneUnit, round < 4)
	}
	for len(m.waiting) > 0 {
		m.deliver(m.waiting[0])
	}
	for _, n := range m.nodes {
		n.readTo(m.log, len(m.log))
	}
}

// none is no waiting work.
func none(func(Amount) bool) {}

// oneUnit is a waiting job that takes one unit.
func oneUnit(yield func(Amount) bool) { yield(Amount{GPUs: 1}) }

// newShared is a model whose limit has been shared out to all nodes, which have
// read it.
func newShared(t *testing.T, gpus float64, nodes ...string) *model {
	t.Helper()
	m := newModel(Amount{GPUs: gpus}, nodes...)
	m.settle()
	for _, n := range m.nodes {
		if phase := n.book.Ledger(m.team).Phase(m.members.token); phase != Shared {
			t.Fatalf("the shares are %s at %s", phase, n.label)
		}
	}
	return m
}

// mustAdmit lets a node decide on a claim of one unit.
func (m *model) mustAdmit(t *testing.T, label string, machine int) *write {
	t.Helper()
	w := m.admit(m.nodes[label], machine, Amount{GPUs: 1})
	if w == nil {
		t.Fatalf("%s admits nothing on machine %d", label, machine)
	}
	return w
}

// The checker must see a violation: here the state service ignores guards.
func TestTheCheckerSeesAPlantedViolation(t *testing.T) {
	m := newShared(t, 4, "a", "b")
	m.unsafe = true
	stale := m.mustAdmit(t, "b", 1)
	m.restart("b")
	m.settle()
	for range 4 {
		if w := m.admit(m.nodes["a"], 0, Amount{GPUs: 1}); w != nil {
			m.deliver(w)
		}
		if w := m.admit(m.nodes["b"], 1, Amount{GPUs: 1}); w != nil {
			m.deliver(w)
		}
	}
	for range 3 {
		stale.changes[0].key += "again" // the same claim, carried out several times
		m.apply(stale)
	}
	if m.broken == nil {
		t.Fatalf("%d claims of a limit of 4 went unseen", len(m.claims))
	}
}
