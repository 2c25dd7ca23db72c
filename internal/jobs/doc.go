// Package jobs holds jobs and tasks: their state machines; their stored records and keys, with
// bounds on the records' sizes; the validation of submissions at intake; and the Table, which
// indexes all stored jobs and derives from the DAG of dependencies which of them may run.
//
// The package does no I/O: package store passes stored records to the Table, and callers write the
// records. Where a task runs is decided in package placement, what a team may use in package quota,
// and what a worker is told in package worker.
package jobs
