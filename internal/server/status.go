package server

import (
	"fmt"
	"sort"
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
)

// serveStatus shows operators, as plain text, what this node knows: the
// membership, the splits with the gate that blocks each, and why jobs wait.
func (n *Node) serveStatus(c *fasthttp.RequestCtx) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "node %s session %s state_service %v\n", n.self.Label, n.session, n.hasState())
	if n.member != nil {
		fmt.Fprintf(&b, "membership baton %d leader %s nodes", n.member.Baton, n.member.Leader.Label)
		for _, m := range n.member.Nodes {
			fmt.Fprintf(&b, " %s", m.Label)
		}
		b.WriteByte('\n')
	}
	pending := 0
	for _, j := range n.table.Open {
		pending += j.Counts[jobs.Pending]
	}
	fmt.Fprintf(&b, "jobs open %d tasks_pending %d\n", len(n.table.Open), pending)
	phases := map[fleet.Phase]int{}
	for _, h := range n.reg.Hosts {
		phases[h.Phase]++
	}
	fmt.Fprintf(&b, "machines in %d draining %d returned %d\n", phases[fleet.In], phases[fleet.Draining], phases[fleet.Returned])
	if n.entitled() && n.leads() {
		for _, t := range n.types {
			if d, ok := n.leading.decision[t.Label]; ok {
				fmt.Fprintf(&b, "split %s batch %d service %d batch_load %.2f service_load %.2f demand_short %.4f demand_long %.4f evidence_open %v proposal %q rule %q confirmations %d gate %q\n",
					d.Type, d.Batch, d.Service, d.BatchLoad, d.ServiceLoad, d.Short, d.Long, d.EvidenceOpen,
					d.Proposal.Direction, d.Proposal.Rule, d.Confirmations, d.Gate)
			}
		}
	}
	refs := make([]string, 0, len(n.unmet))
	for ref := range n.unmet {
		refs = append(refs, ref)
	}
	sort.Strings(refs)
	for i, ref := range refs {
		if i == 50 {
			fmt.Fprintf(&b, "waiting +%d more\n", len(refs)-i)
			break
		}
		fmt.Fprintf(&b, "waiting %s tasks %d because %s\n", ref, n.unmet[ref], n.why[ref])
	}
	c.SetContentType("text/plain; charset=utf-8")
	c.SetBodyString(b.String())
}
