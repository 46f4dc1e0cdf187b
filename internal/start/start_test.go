package start

import (
	"strings"
	"testing"

	"chalkferry/choice"
)

const good = `{"listeners":[{"name":"a","dialTimeout":1200,"handshakeTarget":300,"effect":"read_like","utility":1}],
	"invariants":{"cold":20000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000,"mustAskIn":10000},
	"penalties":{"probe":0.01,"peer":0},"groupSize":80}`

// TestWrongSettings: a wrong figure is told by the name of its field, and nothing starts with it.
func TestWrongSettings(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`"probe":0.01`, `"probe":0.01`, ""},
		{`"probe":0.01`, `"probe":-1`, "penalties.probe"},
		{`"peer":0`, `"peer":-0.5`, "penalties.peer"},
		{`"groupSize":80`, `"groupSize":-4`, "groupSize"},
		{`"fallMultiple":3`, `"fallMultiple":-3`, "fallMultiple"},
		{`"coldFrom":0.2`, `"coldFrom":1.2`, "coldFrom"},
		{`"tipAfter":3000`, `"tipAfter":0`, "tipAfter"},
		{`"dialTimeout":1200`, `"dialTimeout":0`, "dialTimeout"},
	} {
		var (
			listeners []choice.Listener
			dials     choice.DialLimits
			list      choice.ListRules
			cold      choice.ColdRule
			load      choice.LoadSight
			words     choice.WordRule
		)
		text := strings.Replace(good, c.old, c.new, 1)
		err := Module([]byte(text), &listeners, &dials, &list, &cold, &load, &words)
		if (err == nil) != (c.field == "") || err != nil && !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: %v, want it to name %q", c.new, err, c.field)
		}
	}
}
