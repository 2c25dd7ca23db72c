package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// Initial buffer sizes of forwarded messages, without their bodies. They are large enough that
// the buffer rarely grows.
const (
	forwardRequestOverhead  = 128
	forwardResponseOverhead = 64
)

// ForwardRequest is a user's request that is forwarded to a sibling.
type ForwardRequest struct {
	Method, Path string
	Body         []byte
}

// Encode returns the request as a FlatBuffers message.
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

// DecodeForwardRequest decodes a forwarded request. The result shares no memory with the
// message.
func DecodeForwardRequest(message []byte) (r ForwardRequest, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return r, ErrMalformed
	}
	table := fb.GetRootAsRequest(message, 0)
	return ForwardRequest{Method: string(table.Method()), Path: string(table.Path()), Body: append([]byte(nil), table.BodyBytes()...)}, nil
}

// ForwardResponse is the sibling's response, which is passed on to the user.
type ForwardResponse struct {
	Status     int    // HTTP status code
	RetryAfter string // value of the Retry-After header; empty if absent
	Body       []byte
}

// Encode returns the response as a FlatBuffers message.
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

// DecodeForwardResponse decodes the response to a forwarded request. The result shares no
// memory with the message.
func DecodeForwardResponse(message []byte) (r ForwardResponse, err error) {
	defer recoverMalformed(&err)
	if len(message) < minMessageSize {
		return r, ErrMalformed
	}
	table := fb.GetRootAsReply(message, 0)
	return ForwardResponse{Status: int(table.Status()), RetryAfter: string(table.RetryAfter()), Body: append([]byte(nil), table.BodyBytes()...)}, nil
}
