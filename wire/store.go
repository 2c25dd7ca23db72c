package wire

// KeyValue is one key of the key-value store, with its value and its version.
type KeyValue struct {
	Key     string `cbor:"key"`
	Value   Raw    `cbor:"v"`
	Version uint64 `cbor:"stamp"`
}

// ListResponse answers GET /keys with one page of the list. More pages follow if it is truncated.
type ListResponse struct {
	KeyValues []KeyValue `cbor:"pairs"`
	Truncated bool       `cbor:"truncated"`
	Revision  uint64     `cbor:"epoch"`
}

// Compare is a condition of a compare-and-swap transaction: Key must have this Version.
type Compare struct {
	Key     string `cbor:"key"`
	Version uint64 `cbor:"stamp"`
}

// Operation is one change in a transaction. It either stores Value under the key Put, attached to a
// lease if LeaseID is set, or deletes the key Delete.
type Operation struct {
	Put     string `cbor:"set,omitempty"`
	Value   Raw    `cbor:"v,omitempty"`
	LeaseID uint64 `cbor:"tenure,omitempty"`
	Delete  string `cbor:"drop,omitempty"`
}

// Transaction is the body of POST /multi, a compare-and-swap: its operations are applied atomically
// if all compares hold, and otherwise not at all.
type Transaction struct {
	Compares   []Compare   `cbor:"guards"`
	Operations []Operation `cbor:"then"`
}

// TransactionResult answers POST /multi. If the transaction was not applied, FailedCompares lists the
// keys whose compare failed, or Error gives the reason; the HTTP status distinguishes the cases.
type TransactionResult struct {
	Revision       uint64   `cbor:"epoch"`
	FailedCompares []string `cbor:"failed"`
	Error          string   `cbor:"error"`
}

// LeaseRequest is the body of POST /leases: it requests a lease that expires unless it is renewed.
type LeaseRequest struct {
	TTLMs uint64 `cbor:"ttl_ms"`
}

// LeaseResponse answers POST /leases.
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

// WatchResponse answers GET /watch with the changes up to Revision.
type WatchResponse struct {
	Revision uint64       `cbor:"epoch"`
	Events   []WatchEvent `cbor:"events"`
}
