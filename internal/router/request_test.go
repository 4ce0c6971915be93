package router

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"tealpath/control"
)

func TestDecodeRequest(t *testing.T) {
	fields := requestFields(1, map[string]string{
		"nth":    "007",
		"got":    "4BE0C1927D55A6F3",
		"unique": "6ad8595c69c03e9f5892348d52ee1791",
		"second": "1",
		"ram":    "194.179",
	})
	got, err := DecodeRequest(fields, []byte("body"))
	want := Request{
		ID:             "0000000000000001",
		Class:          "stills",
		Object:         objectID,
		Part:           Part{Number: 7, Text: "007"},
		Group:          17,
		Timeout:        2500 * millisecond,
		IsRetry:        true,
		SizeKB:         194.179,
		ClientETag:     "4BE0C1927D55A6F3",
		IdempotencyKey: "6ad8595c69c03e9f5892348d52ee1791",
		Body:           []byte("body"),
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("request %+v, error %v\nwant %+v", got, err, want)
	}
}

// An optional field with an invalid value counts as absent. The request is not refused because of it.
func TestDecodeRequestIgnoresInvalidOptionalFields(t *testing.T) {
	for _, c := range []struct{ field, value string }{
		{"got", "a,b=c"},
		{"got", "4be0c1927d55a6f"},
		{"second", "yes"},
		{"ram", "NaN"},
		{"ram", "-1"},
		{"ram", "1e9"},
		{"ram", "large"},
	} {
		t.Run(c.field+"="+c.value, func(t *testing.T) {
			plain, _ := DecodeRequest(requestFields(1, nil), nil)
			got, err := DecodeRequest(requestFields(1, map[string]string{c.field: c.value}), nil)
			if err != nil || !reflect.DeepEqual(got, plain) {
				t.Errorf("request %+v, error %v\nwant %+v", got, err, plain)
			}
		})
	}
}

// A request with an unusable field must not be forwarded. The client learns from the response which field is unusable.
func TestUnusableFieldsAreBadRequests(t *testing.T) {
	for _, c := range []struct{ field, value string }{
		{"verb", ""},
		{"txn", "12"},
		{"txn", "9b1f03aa5c7e2dxx"},
		{"limit", ""},
		{"limit", "-5"},
		{"limit", "soon"},
		{"limit", "2147483648"},
		{"item", objectID + "0"},
		{"item", "a=b,c=d,e=f,g=h,"},
		{"nth", "-1"},
		{"nth", "x"},
		{"nth", "+3"},
		{"nth", strings.Repeat("0", 20) + "3"},
		{"unique", strings.Repeat("x", 257)},
		{"batch", "256"},
		{"batch", ""},
		{"unique", "a,miss=o-a"}, // an endpoint would read this key as two fields
	} {
		t.Run(c.field+"="+c.value, func(t *testing.T) {
			event := requestEvent(1, 4, requestFields(4, map[string]string{c.field: c.value}), nil)
			var fieldError *FieldError
			if !errors.As(event.DecodeError, &fieldError) {
				t.Fatalf("error %v, want a *FieldError", event.DecodeError)
			}
			if want := (FieldError{c.field, c.value, FieldUnusable}); *fieldError != want {
				t.Errorf("error %+v, want %+v", *fieldError, want)
			}
			h := newDefaultHarness(t)
			h.handle(event)
			h.expect("bad request 4")
			want := "field " + c.field + " is missing or unusable"
			if got := h.responses[0].Reason.Error(); got != want || h.InFlight() != 0 {
				t.Errorf("reason %q, want %q; %d requests in flight, want 0", got, want, h.InFlight())
			}
		})
	}
}

// Requests that the settings do not allow, or that conflict with a request in flight, are answered as bad requests.
func TestBadRequestsBySettingsAndRequestsInFlight(t *testing.T) {
	for _, c := range []struct {
		name   string
		second RequestReceived // received while a request with sequence number 1 is in flight
		want   string
	}{
		{
			"sequence number in use",
			requestEvent(1, 1, requestFields(2, nil), nil),
			"sequence number in use",
		},
		{
			"unknown class",
			requestEvent(1, 2, requestFields(2, map[string]string{"verb": "odd"}), nil),
			"field verb names no product",
		},
		{
			"id in use",
			requestEvent(1, 2, requestFields(1, nil), nil),
			"field txn is in use",
		},
		{
			"long body",
			requestEvent(1, 2, requestFields(2, nil), make([]byte, maxBodyBytes+1)),
			"the body is too long",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDefaultHarness(t)
			h.request(1, nil)
			h.handle(c.second)
			h.expect(fmt.Sprint("dial, bad request ", c.second.Seq))
			if got := h.responses[0].Reason.Error(); got != c.want || h.InFlight() != 1 {
				t.Errorf("reason %q, want %q; %d requests in flight, want 1", got, c.want, h.InFlight())
			}
		})
	}
}

// Servers recognize a repeated request by its idempotency key. The key is therefore forwarded with every attempt, byte
// for byte.
func TestIdempotencyKeyIsForwarded(t *testing.T) {
	const key = "6ad8595c69c03e9f5892348d52ee1791"
	h := newTwoClassHarness(t)
	h.request(1, map[string]string{"unique": key})
	h.connectNewest()
	h.respond(ResponseReceived{Result: control.ServerError}) // makes the policy retry the request
	for i, send := range h.sends {
		if got := send.Request.IdempotencyKey; got != key {
			t.Errorf("attempt %d: key %q, want %q", i, got, key)
		}
	}
	if len(h.sends) != 2 {
		t.Errorf("%d attempts, want 2", len(h.sends))
	}
	h.request(2, map[string]string{"unique": "a,miss=o-a"})
	if last := h.observed[len(h.observed)-1]; last != "bad request 2" {
		t.Errorf("a key that could be read as further fields: effect %q, want a bad request", last)
	}
}
