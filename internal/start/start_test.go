package start

import (
	"strings"
	"testing"

	"chalkferry/choice"
)

// TestDrains: which drains bind reaches the module's part; without it the part is what it was.
func TestDrains(t *testing.T) {
	const head, rest = `{"listeners":[{"dialTimeout":800,"handshakeTarget":200,"effect":"read_like"}],`,
		`"groupSize":3,"me":2,"invariants":{"mustAskIn":4000`
	for text, alone := range map[string]bool{
		head + rest + `}}`:                        false,
		head + rest + `,"drainBindsAlone":true}}`: true,
	} {
		_, list, cold, err := module(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if list.OnlyDrainsExclude != alone || cold.ProxyCount != 3 || cold.ProxyIndex != 2 {
			t.Errorf("%s: %+v %+v", text, list, cold)
		}
	}
}

// TestBudget: a budget of dials reaches the module's part whole, or is refused by name; left out there is none.
func TestBudget(t *testing.T) {
	const head = `{"listeners":[{"dialTimeout":800,"handshakeTarget":200,"effect":"read_like"}],"invariants":{`
	for text, want := range map[string]string{
		`}}`: "",
		`"freeResends":3,"furtherRatio":0.15,"budgetWindow":5000}}`:  "",
		`"freeResends":0,"furtherRatio":0,"budgetWindow":1}}`:        "",
		`"freeResends":3,"furtherRatio":0.15}}`:                      "budgetWindow",
		`"freeResends":3,"budgetWindow":5000}}`:                      "furtherRatio",
		`"furtherRatio":0.15,"budgetWindow":5000}}`:                  "freeResends",
		`"freeResends":-1,"furtherRatio":0.15,"budgetWindow":5000}}`: "freeResends",
		`"freeResends":3,"furtherRatio":-0.1,"budgetWindow":5000}}`:  "furtherRatio",
		`"freeResends":3,"furtherRatio":0.15,"budgetWindow":0}}`:     "budgetWindow",
		`"freeResends":3,"furtherRatio":0.15,"budgetWindow":1e300}}`: "out of range",
		`"freeResends":3,"furtherRatio":"x","budgetWindow":5000}}`:   "furtherRatio",
	} {
		switch budget, _, _, err := module(head + text); {
		case want == "" && err != nil, want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: %v, not %q", text, err, want)
		case want == "" && (budget.Window > 0) != strings.Contains(text, "budgetWindow"):
			t.Errorf("%s: %+v", text, budget)
		}
	}
}

// module reads the parts that the tests look at.
func module(text string) (budget choice.RetryBudget, list choice.ListSettings, cold choice.ColdSettings, err error) {
	var (
		listeners []choice.Listener
		dials     choice.DialLimits
		words     choice.PeerReportSettings
	)
	err = Module([]byte(text), &listeners, &dials, &budget, &list, &cold, &words)
	return budget, list, cold, err
}
