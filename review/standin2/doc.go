// Package standin2 holds the stand-ins of the second review's cases: the state service, a cloud with
// a fixed capacity, workers, users, links that can be cut, and controllers as separate processes. All
// of them follow the protocol page and listen on loopback only.
package standin2
