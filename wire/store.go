package wire

// KeyValue is one key of the key-value store, with its value and its version.
type KeyValue struct {
	Key     string `cbor:"key"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
}

// ListResponse answers GET /keys. A truncated list is followed by the next page.
type ListResponse struct {
	KeyValues []KeyValue `cbor:"pairs"`
	Truncated bool       `cbor:"truncated"`
	Revision  uint64     `cbor:"epoch"`
}

// Compare is one condition of a compare-and-swap transaction: the key has this
// version.
type Compare struct {
	Key     string `cbor:"key"`
	Version uint64 `cbor:"stamp"`
}

// Operation is one change of a transaction: it puts Value under the key Put, bound
// to a lease if LeaseID is set, or deletes the key Delete.
type Operation struct {
	Put     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	LeaseID uint64 `cbor:"tenure,omitempty"`
	Delete  string `cbor:"drop,omitempty"`
}

// Transaction is the body of POST /multi, a compare-and-swap: its operations are
// applied together if all compares hold, else none is.
type Transaction struct {
	Compares   []Compare   `cbor:"guards"`
	Operations []Operation `cbor:"then"`
}

// TransactionResult answers a transaction; without an Error it was applied.
type TransactionResult struct {
	Revision       uint64   `cbor:"epoch"`
	FailedCompares []string `cbor:"failed"`
	Error          string   `cbor:"error"`
}

// LeaseRequest asks for a lease that expires unless it is renewed in time.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// LeaseResponse answers a request for a lease.
type LeaseResponse struct {
	ID uint64 `cbor:"tenure"`
}

// WatchEvent is one change in a watch response: a put or a delete.
type WatchEvent struct {
	Put     string `cbor:"set"`
	Value   Raw    `cbor:"v"`
	Delete  string `cbor:"drop"`
	Version uint64 `cbor:"stamp"`
}

// WatchResponse answers GET /watch: the changes up to a revision.
type WatchResponse struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"events"`
}
