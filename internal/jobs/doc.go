// Package jobs owns jobs and tasks: their state machines, the records and keys
// under which they are stored with the bounds on the records' sizes, the checks
// of a submission at intake, and the Table, which holds all jobs as stored with
// indexes, and derives from the DAG of dependencies which job may run.
//
// It does no input or output: package store feeds the Table, and callers write
// the records. It doesn't decide where a task runs (package placement), what a
// team may use (package quota) or what a worker is told (package worker).
package jobs
