package start

import (
	"strings"
	"testing"

	"chalkferry/choice"
)

// TestWrongSettings: a wrong figure is told by the name of its field, and nothing starts with it.
func TestWrongSettings(t *testing.T) {
	const good = `{"listeners":[{"name":"a","dialTimeout":1200,"handshakeTarget":300,"effect":"read_like"}],"groupSize":80,
		"invariants":{"cold":20000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},"penalties":{"probe":0.01,"peer":0.1}}`
	for _, field := range []string{"", "penalties.probe", "penalties.peer", "groupSize", "fallMultiple", "coldFrom"} {
		name := field[strings.LastIndex(field, ".")+1:]
		text := strings.Replace(good, `"`+name+`":`, `"`+name+`":-`, min(len(name), 1))
		err := Module([]byte(text), new([]choice.Listener), new(choice.DialLimits), new(choice.ListRules),
			new(choice.ColdRule), new(choice.LoadSight), new(choice.WordRule))
		if (err == nil) != (field == "") || err != nil && !strings.Contains(err.Error(), field) {
			t.Errorf("%s below 0: %v", field, err)
		}
	}
}
