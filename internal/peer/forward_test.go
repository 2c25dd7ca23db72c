package peer

import (
	"reflect"
	"testing"
)

func TestForwardRequestRoundTrip(t *testing.T) {
	request := ForwardRequest{"POST", "/work", []byte{1, 2, 0, 3}}
	if got, err := DecodeForwardRequest(request.Encode()); err != nil || !reflect.DeepEqual(got, request) {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestForwardResponseRoundTrip(t *testing.T) {
	response := ForwardResponse{503, "2", []byte{9}}
	if got, err := DecodeForwardResponse(response.Encode()); err != nil || !reflect.DeepEqual(got, response) {
		t.Fatalf("%+v %v", got, err)
	}
}
