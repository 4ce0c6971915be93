package upstream

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/router"
)

// wordsOf splits text at each | and returns the parts, which are the strings of a response.
func wordsOf(text string) (words [][]byte) {
	for word := range strings.SplitSeq(text, "|") {
		words = append(words, []byte(word))
	}
	return words
}

// versionFields are fields of responses in decodeResponseTests. issued is the issue time in these fields, converted
// from ms to ns.
const (
	versionFields = "entity=4be0c1927d55a6f3,issued=1764576000123"
	issued        = int64(1764576000123e6)
)

type response = router.ResponseReceived

// serverError is the result of a response with an unusable field.
var serverError = response{ID: "i", Result: control.ServerError}

var decodeResponseTests = []struct {
	name, in string // strings of the response, separated by |
	want     response
	field    string // Field of the expected FieldError; empty: no error is expected
}{
	{
		"served", "i|served|" + versionFields + ",detail=TCP_MISS,delay=12.5,use=inflight:7;x0:0.61|bytes",
		response{
			ID: "i", Result: control.Succeeded, IssuedAt: issued, Body: []byte("bytes"), Note: 2,
			TimeToFirstByte: 125e5, LoadReport: []float64{7, 0, 0.61},
		},
		"",
	},
	{
		"a load report with the names of the wire protocol", "i|crashed|use=outstanding:11.128;x1:0.736|",
		response{ID: "i", Result: control.ServerError, LoadReport: []float64{11.128, 0.736, 0}},
		"",
	},
	{
		"not modified", "i|still_good|" + versionFields + ",detail=TCP_HIT|",
		response{
			ID: "i", Result: control.Succeeded, IssuedAt: issued, NotModified: true, Body: []byte{}, Note: 1,
		},
		"",
	},
	{"a miss", "i|not_here|detail=PEER_MISS|", response{ID: "i", Result: control.NotCached, Note: 8}, ""},
	{"overloaded", "i|overload|-|", response{ID: "i", Result: control.Overloaded}, ""},
	{"an error", "i|crashed|-|", serverError, ""},
	{"not run by the endpoint", "i|nobody|-|", response{ID: "i", Result: control.NotSent}, ""},
	{
		"unknown details and unreadable delays and load reports are ignored",
		"i|served|" + versionFields + ",detail=ODD,delay=long,use=??|b",
		response{
			ID: "i", Result: control.Succeeded, IssuedAt: issued, Body: []byte("b"),
			LoadReport: []float64{0, 0, 0},
		},
		"",
	},
	{
		"a delay out of range is ignored", "i|not_here|delay=1e9|", response{ID: "i", Result: control.NotCached}, "",
	},
	{"no issue time", "i|served|entity=4be0c1927d55a6f3|b", serverError, "issued"},
	{"an issue time that is not a number", "i|served|entity=4be0c1927d55a6f3,issued=soon|b", serverError, "issued"},
	{"an issue time of 0", "i|served|entity=4be0c1927d55a6f3,issued=0|b", serverError, "issued"},
	{"a negative issue time", "i|served|entity=4be0c1927d55a6f3,issued=-1|b", serverError, "issued"},
	{
		"an issue time in the far future", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775807|b",
		response{ID: "i", Result: control.Succeeded, IssuedAt: math.MaxInt64, Body: []byte("b")},
		"",
	},
	{
		"an issue time beyond int64", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775808|b",
		serverError, "issued",
	},
	{"no entity tag", "i|served|issued=1764576000123|b", serverError, "entity"},
	{
		"neither issue time nor entity tag: unversioned", "i|served|detail=TCP_MISS_ROOT|done",
		response{ID: "i", Result: control.ServerError, Unversioned: true, Body: []byte("done"), Note: 3},
		"",
	},
	{"neither issue time nor entity tag, and not modified", "i|still_good|detail=TCP_HIT|", serverError, "issued"},
	{"an unknown result word", "i|maybe|" + versionFields + "|b", serverError, "result"},
	{"words missing", "i|served", serverError, "number of words"},
}

func TestDecodeResponse(t *testing.T) {
	for _, test := range decodeResponseTests {
		t.Run(test.name, func(t *testing.T) {
			got, err := decodeResponse(wordsOf(test.in), []string{"inHand", "x1", "x0"})
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("response %+v\nwant %+v", got, test.want)
			}
			fieldErr, ok := errors.AsType[*FieldError](err)
			if ok != (test.field != "") || ok && fieldErr.Field != test.field || err != nil && !ok {
				t.Errorf("error %v, want a FieldError for field %q", err, test.field)
			}
			if ok && !strings.Contains(err.Error(), test.field) {
				t.Errorf("error %q does not name %s", err, test.field)
			}
		})
	}
}

func TestDecodeNonResponse(t *testing.T) {
	for name, words := range map[string][][]byte{
		"no words":     nil,
		"health check": wordsOf("t|green|-|"),
	} {
		if got, err := decodeResponse(words, nil); !errors.Is(err, errNoResponse) {
			t.Errorf("%s: response %+v, error %v, want errNoResponse", name, got, err)
		}
	}
}
