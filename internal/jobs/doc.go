// Package jobs holds what the state service stores about jobs, the state
// machines of jobs and tasks, and the intake checks.
package jobs
