package start

import (
	"testing"

	"chalkferry/choice"
)

// TestGoals: the nines goal and which drains bind reach the module's parts; without them the parts are what they were.
func TestGoals(t *testing.T) {
	const head, rest = `{"listeners":[{"dialTimeout":800,"handshakeTarget":200,"effect":"read_like"}],`,
		`"groupSize":3,"me":2,"invariants":{"mustAskIn":4000`
	for text, want := range map[string]struct {
		nines choice.NinesGoal
		alone bool
	}{
		head + rest + `}}`: {},
		head + `"goal":{"whole":1},` + rest + `,"drainBindsAlone":false}}`:                      {},
		head + `"goal":{"availability":0.4,"topNines":2},` + rest + `,"drainBindsAlone":true}}`: {choice.NinesGoal{Weight: 0.4, Top: 2}, true},
	} {
		var (
			listeners []choice.Listener
			dials     choice.DialLimits
			list      choice.ListRules
			cold      choice.ColdRule
			load      choice.LoadSight
			words     choice.WordRule
			nines     choice.NinesGoal
		)
		if err := Module([]byte(text), &listeners, &dials, &list, &cold, &load, &words, &nines); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if nines != want.nines || list.DrainsBindAlone != want.alone || cold.Proxies != 3 || cold.Me != 2 {
			t.Errorf("%s: %+v %+v %+v", text, nines, list, cold)
		}
	}
}
