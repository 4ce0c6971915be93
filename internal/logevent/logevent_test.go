package logevent

import (
	"slices"
	"testing"
)

// sample is an event with a field that is always written, one that is omitted if it is zero, and one without a tag.
type sample struct {
	Endpoint uint32  `log:"endpoint"`
	Score    float64 `log:"score,omitempty"`
	internal int
}

func (sample) Kind() Kind {
	return Kind{Name: "sample_taken", Level: Warn, Message: "a sample was taken"}
}

func TestFields(t *testing.T) {
	for _, c := range []struct {
		name  string
		event Event
		text  string
		count int
	}{
		{"all fields set", sample{Endpoint: 7, Score: 1.5, internal: 3}, "a sample was taken endpoint=7 score=1.5", 2},
		{"a zero value with omitempty", sample{Endpoint: 7}, "a sample was taken endpoint=7", 1},
		{"all fields zero", sample{}, "a sample was taken endpoint=0", 1},
		{"a pointer to an event", &sample{Endpoint: 9}, "a sample was taken endpoint=9", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Text(c.event); got != c.text {
				t.Errorf("text %q, want %q", got, c.text)
			}
			if got := Fields(c.event); len(got) != c.count {
				t.Errorf("%d fields, want %d", len(got), c.count)
			}
			if got := FieldNames(c.event); !slices.Equal(got, []string{"endpoint", "score"}) {
				t.Errorf("field names %q, want endpoint and score", got)
			}
		})
	}
}

func TestLevelNames(t *testing.T) {
	for level, want := range map[Level]string{Info: "info", Warn: "warn", Error: "error"} {
		if got := level.String(); got != want {
			t.Errorf("level %d has the name %q, want %q", level, got, want)
		}
	}
}
