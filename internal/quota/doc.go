// Package quota enforces the limits of teams and grants them their guarantees
// while several controllers admit work concurrently. It owns the stored shares of
// each team's limit, the admissions that draw on them, the rebalance and transfer
// of shares, and the reservations of teams whose work waits for capacity within
// their guarantees.
//
// A team's limit is divided into shares, one for each member of the membership,
// in one stored record. A controller admits work on its own machines within its
// share. Its write compares the version of the record without writing it, so
// admissions of different controllers do not conflict. A controller that changes
// the shares writes the record, which fails every admission that was decided on
// the previous shares. The safety argument is in docs/protocol-notes.md; the
// alternatives considered are in docs/design/quota.md.
//
// The package does no I/O: its inputs are stored records, the view of the claims
// and the time; its results are admissions and records to write. Package
// controller reads and writes the key-value store; package placement chooses
// machines and the tasks to preempt.
package quota
