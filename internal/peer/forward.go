package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// Sizes of a forwarded message without its body, so that the builder's buffer
// rarely grows.
const (
	forwardRequestOverhead  = 128
	forwardResponseOverhead = 64
)

// ForwardRequest is a user's request that is forwarded to a sibling.
type ForwardRequest struct {
	Method, Path string
	Body         []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardRequest) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + forwardRequestOverhead)
	body, path, method := b.CreateByteVector(r.Body), b.CreateString(r.Path), b.CreateString(r.Method)
	fb.RequestStart(b)
	fb.RequestAddMethod(b, method)
	fb.RequestAddPath(b, path)
	fb.RequestAddBody(b, body)
	b.Finish(fb.RequestEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardRequest reads a forwarded request. It shares no memory with the
// message.
func DecodeForwardRequest(message []byte) (r ForwardRequest, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return r, ErrMalformed
	}
	f := fb.GetRootAsRequest(message, 0)
	return ForwardRequest{Method: string(f.Method()), Path: string(f.Path()), Body: append([]byte(nil), f.BodyBytes()...)}, nil
}

// ForwardResponse is the sibling's answer, as the user should get it.
type ForwardResponse struct {
	Status     int    // of HTTP
	RetryAfter string // header of this name; empty: none
	Body       []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardResponse) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + forwardResponseOverhead)
	body, retryAfter := b.CreateByteVector(r.Body), b.CreateString(r.RetryAfter)
	fb.ReplyStart(b)
	fb.ReplyAddStatus(b, int32(r.Status))
	fb.ReplyAddRetryAfter(b, retryAfter)
	fb.ReplyAddBody(b, body)
	b.Finish(fb.ReplyEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardResponse reads the answer to a forwarded request. It shares no
// memory with the message.
func DecodeForwardResponse(message []byte) (r ForwardResponse, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return r, ErrMalformed
	}
	f := fb.GetRootAsReply(message, 0)
	return ForwardResponse{Status: int(f.Status()), RetryAfter: string(f.RetryAfter()), Body: append([]byte(nil), f.BodyBytes()...)}, nil
}
