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

// wordsOf splits a response whose words are separated by |.
func wordsOf(text string) (words [][]byte) {
	for word := range strings.SplitSeq(text, "|") {
		words = append(words, []byte(word))
	}
	return words
}

// Parts of the responses of decodeResponseTests.
const (
	versionFields = "entity=4be0c1927d55a6f3,issued=1764576000123"
	issued        = int64(1764576000123e6)
)

type response = router.ResponseReceived

// unusable is a response with a field that cannot be used.
var unusable = response{ID: "i", Result: control.ServerError}

var decodeResponseTests = []struct {
	name, in string // words separated by |
	want     response
	field    string // that cannot be used; empty: all can
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
		"a load report in the wire's words", "i|crashed|use=outstanding:11.128;x1:0.736|",
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
	{"an error", "i|crashed|-|", unusable, ""},
	{"over already", "i|nobody|-|", response{ID: "i", Result: control.NotSent}, ""},
	{
		"odd notes and reports say nothing", "i|served|" + versionFields + ",detail=ODD,delay=long,use=??|b",
		response{
			ID: "i", Result: control.Succeeded, IssuedAt: issued, Body: []byte("b"),
			LoadReport: []float64{0, 0, 0},
		},
		"",
	},
	{
		"a delay out of range says nothing", "i|not_here|delay=1e9|", response{ID: "i", Result: control.NotCached}, "",
	},
	{"no age", "i|served|entity=4be0c1927d55a6f3|b", unusable, "issued"},
	{"an odd age", "i|served|entity=4be0c1927d55a6f3,issued=soon|b", unusable, "issued"},
	{"an age of 0", "i|served|entity=4be0c1927d55a6f3,issued=0|b", unusable, "issued"},
	{"a negative age", "i|served|entity=4be0c1927d55a6f3,issued=-1|b", unusable, "issued"},
	{
		"an age of the far future", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775807|b",
		response{ID: "i", Result: control.Succeeded, IssuedAt: math.MaxInt64, Body: []byte("b")},
		"",
	},
	{
		"an age beyond all numbers", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775808|b",
		unusable, "issued",
	},
	{"no entity tag", "i|served|issued=1764576000123|b", unusable, "entity"},
	{
		"neither: whoever knows the class decides", "i|served|detail=TCP_MISS_ROOT|done",
		response{ID: "i", Result: control.ServerError, Unversioned: true, Body: []byte("done"), Note: 3},
		"",
	},
	{"neither, and not modified", "i|still_good|detail=TCP_HIT|", unusable, "issued"},
	{"an unknown word", "i|maybe|" + versionFields + "|b", unusable, "result"},
	{"words missing", "i|served", unusable, "number of words"},
}

func TestDecodeResponse(t *testing.T) {
	for _, test := range decodeResponseTests {
		t.Run(test.name, func(t *testing.T) {
			got, err := decodeResponse(wordsOf(test.in), []string{"inHand", "x1", "x0"})
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("%+v\nwant %+v", got, test.want)
			}
			fieldErr, ok := errors.AsType[*FieldError](err)
			if ok != (test.field != "") || ok && fieldErr.Field != test.field || err != nil && !ok {
				t.Errorf("error %v, want one of field %q", err, test.field)
			}
			if ok && !strings.Contains(err.Error(), test.field) {
				t.Errorf("error %q does not name %s", err, test.field)
			}
		})
	}
}

func TestDecodeWhatIsNoResponse(t *testing.T) {
	for name, words := range map[string][][]byte{
		"no words":     nil,
		"health check": wordsOf("t|green|-|"),
	} {
		if got, err := decodeResponse(words, nil); !errors.Is(err, errNoResponse) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
}
