// Package standin holds the stand-ins of the review's cases: a state service, a cloud, workers and
// users that follow the protocol, and the controllers as processes that are started with the command
// of the deploy file. Everything listens on loopback and uses the real clock. A case adds its trouble
// through the hooks of the stand-ins and judges only what clients, workers and the platform see.
package standin
