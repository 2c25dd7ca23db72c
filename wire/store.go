package wire

// KeyValue is one key of the state service, with its value and its version.
type KeyValue struct {
	Key     string `cbor:"key"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
}

// ListResponse answers GET /keys.
type ListResponse struct {
	KeyValues []KeyValue `cbor:"pairs"`
	Truncated bool       `cbor:"truncated"`
	Revision  uint64     `cbor:"epoch"`
}

// Compare is one condition of a transaction: the key has this version.
type Compare struct {
	Key     string `cbor:"key"`
	Version uint64 `cbor:"stamp"`
}

// Operation is one change of a transaction: a set or a drop.
type Operation struct {
	Put     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	LeaseID uint64 `cbor:"tenure,omitempty"`
	Delete  string `cbor:"drop,omitempty"`
}

// Transaction is the body of POST /multi: changes that are made if all guards
// hold.
type Transaction struct {
	Compares   []Compare   `cbor:"guards"`
	Operations []Operation `cbor:"then"`
}

// TransactionResult answers a transaction.
type TransactionResult struct {
	Revision       uint64   `cbor:"epoch"`
	FailedCompares []string `cbor:"failed"`
	Error          string   `cbor:"error"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// LeaseResponse answers a request for a lease.
type LeaseResponse struct {
	ID uint64 `cbor:"tenure"`
}

// WatchEvent is one change in a watch response.
type WatchEvent struct {
	Put     string `cbor:"set"`
	Value   Raw    `cbor:"v"`
	Delete  string `cbor:"drop"`
	Version uint64 `cbor:"stamp"`
}

// WatchResponse answers GET /watch.
type WatchResponse struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"events"`
}
