package downstream

import (
	"errors"
	"reflect"
	"testing"

	"tealpath/internal/protocol/thrift"
	"tealpath/internal/router"
)

func TestNewResponse(t *testing.T) {
	const ms = int64(1e6)
	for _, test := range []struct {
		name     string
		response router.Respond
		want     thrift.Response
	}{
		{
			"served",
			router.Respond{Kind: router.Served, Seq: 5, Body: []byte("body")},
			thrift.Response{Method: "call", Seq: 5, Good: true, Body: []byte("body")},
		},
		{
			"not modified",
			router.Respond{Kind: router.Served, Seq: 5, Body: []byte("body"), NotModified: true},
			thrift.Response{Method: "call", Seq: 5, Good: true, Fields: [][2]string{{"ok304", "1"}}},
		},
		{
			"rejected",
			router.Respond{Kind: router.Rejected, Seq: 5, RetryAfter: 250 * ms},
			thrift.Response{Method: "call", Seq: 5, ResultField: 1, Fields: [][2]string{{"later", "250"}}},
		},
		{
			"rejected, retry delay below 1 ms",
			router.Respond{Kind: router.Rejected, Seq: 5, RetryAfter: ms - 1},
			thrift.Response{Method: "call", Seq: 5, ResultField: 1},
		},
		{
			"failed",
			router.Respond{Kind: router.Failed, Seq: 5, Body: []byte("body")},
			thrift.Response{Method: "call", Seq: 5, ResultField: 2},
		},
		{
			"bad request",
			router.Respond{Kind: router.BadRequest, Seq: 5, Reason: errors.New("no such class")},
			thrift.Response{
				Method:        "call",
				Seq:           5,
				ExceptionType: thrift.ProtocolError,
				ExceptionText: "no such class",
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := newResponse(test.response); !reflect.DeepEqual(got, test.want) {
				t.Errorf("newResponse returned %+v, want %+v", got, test.want)
			}
		})
	}
}
