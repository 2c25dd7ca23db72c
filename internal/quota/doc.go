// Package quota keeps teams within their limits, and gives them what they are
// guaranteed, while several controllers admit work at the same moment. It owns
// the stored shares of each team's limit, the admissions that draw on them, the
// rebalance and transfer of shares, and the reservations of teams that wait for
// room within their guarantees.
//
// A team's limit is divided into shares, one for each member of the membership,
// in one stored record. A controller admits work on its own machines within its
// share, and its write compares the version of the record without writing it, so
// admissions of different controllers do not conflict. Whoever changes the shares
// writes the record, which fails every admission that was decided on the shares
// before. The safety argument is in docs/protocol-notes.md, the ways that were
// weighed are in docs/design/quota.md.
//
// The package is pure: stored records, the view of the claims and the time go
// in, admissions and records to write come out. It neither reads nor writes the
// key-value store, which package controller does, and it doesn't choose machines
// or victims, which package placement does.
package quota
