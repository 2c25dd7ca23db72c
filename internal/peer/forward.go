package peer

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"wheatspur/internal/peer/fb"
)

// ForwardRequest is a user's request that is passed on.
type ForwardRequest struct {
	Method, Path string
	Body         []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardRequest) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 128)
	body, path, method := b.CreateByteVector(r.Body), b.CreateString(r.Path), b.CreateString(r.Method)
	fb.RequestStart(b)
	fb.RequestAddMethod(b, method)
	fb.RequestAddPath(b, path)
	fb.RequestAddBody(b, body)
	b.Finish(fb.RequestEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardRequest reads a request.
func DecodeForwardRequest(b []byte) (r ForwardRequest, err error) {
	defer recoverMalformed(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsRequest(b, 0)
	return ForwardRequest{string(f.Method()), string(f.Path()), append([]byte(nil), f.BodyBytes()...)}, nil
}

// ForwardResponse is the answer to it.
type ForwardResponse struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Encode returns the FlatBuffers form.
func (r *ForwardResponse) Encode() []byte {
	b := flatbuffers.NewBuilder(len(r.Body) + 64)
	body, after := b.CreateByteVector(r.Body), b.CreateString(r.RetryAfter)
	fb.ReplyStart(b)
	fb.ReplyAddStatus(b, int32(r.Status))
	fb.ReplyAddRetryAfter(b, after)
	fb.ReplyAddBody(b, body)
	b.Finish(fb.ReplyEnd(b))
	return b.FinishedBytes()
}

// DecodeForwardResponse reads a reply.
func DecodeForwardResponse(b []byte) (r ForwardResponse, err error) {
	defer recoverMalformed(&err)
	if len(b) < 8 {
		return r, ErrMalformed
	}
	f := fb.GetRootAsReply(b, 0)
	return ForwardResponse{int(f.Status()), string(f.RetryAfter()), append([]byte(nil), f.BodyBytes()...)}, nil
}
