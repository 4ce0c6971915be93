package upstream

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

func TestEncodeFetch(t *testing.T) {
	base := router.UpstreamRequest{
		ID:     "9b1f03aa5c7e2d41",
		Class:  "stills",
		Object: "7f3a9c21e0b4d655",
		Part:   "03",
		Body:   []byte("x\r\ny"),
	}
	for _, test := range []struct {
		name   string
		change func(*router.UpstreamRequest)
		want   string
	}{
		{"without a source", func(r *router.UpstreamRequest) { r.Attempt.CachePriority = 2 }, ""},
		{"with a source", func(r *router.UpstreamRequest) { r.Source = "p-a" }, ",miss=p-a"},
		{"all fields", func(r *router.UpstreamRequest) {
			r.Source, r.ClientETag = "p-a", "4be0c1927d55a6f3"
			r.Attempt = control.Attempt{
				CachePriority:      2,
				MaxAge:             1500e6,
				JoinFill:           true,
				ParentOnlyIfCached: true,
				ParentNoStore:      true,
				RefreshBehind:      true,
			}
		}, ",miss=p-a,prio=2,within=1500,f=ride+have-only+through+update,mine=4be0c1927d55a6f3"},
		{
			"an idempotency key",
			func(r *router.UpstreamRequest) { r.IdempotencyKey = "6ad8595c69c03e9f5892348d52ee1791" },
			",uniq=6ad8595c69c03e9f5892348d52ee1791",
		},
		{
			"a maximum age below 1 ms is sent as 1 ms, since 0 would mean the fresh time",
			func(r *router.UpstreamRequest) { r.Source, r.Attempt.MaxAge = "p-a", 1000 },
			",miss=p-a,within=1",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := base
			test.change(&request)
			encoded := string(encodeFetch(request, 1500999999))
			words, err := resp.Read(bufio.NewReader(strings.NewReader(encoded)))
			const head = "fetch 9b1f03aa5c7e2d41 queue=stills,path=7f3a9c21e0b4d655,blk=03,budget=1500"
			want := head + test.want + " x\r\ny"
			if got := fmt.Sprintf("%s %s %s %s", words[0], words[1], words[2], words[3]); err != nil || got != want {
				t.Errorf("command %s, error %v\nwant %s", got, err, want)
			}
		})
	}
}

func TestEncodeCommands(t *testing.T) {
	for want, got := range map[string][]byte{
		"*2\r\n$5\r\nabort\r\n$2\r\nid\r\n": encodeAbort("id"),
		"*2\r\n$5\r\nalive\r\n$2\r\nid\r\n": encodeAlive("id"),
	} {
		if string(got) != want {
			t.Errorf("encoded as %q, want %q", got, want)
		}
	}
}
