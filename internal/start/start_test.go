package start

import (
	"strings"
	"testing"

	"chalkferry/choice"
)

// TestDrains checks that drainBindsAlone sets OnlyDrainsExclude, which is off without it, and that groupSize and me reach the
// cold settings either way.
func TestDrains(t *testing.T) {
	const head, rest = `{"listeners":[{"dialTimeout":800,"handshakeTarget":200,"effect":"read_like"}],`,
		`"groupSize":3,"me":2,"invariants":{"mustAskIn":4000`
	for text, onlyDrains := range map[string]bool{
		head + rest + `}}`:                        false,
		head + rest + `,"drainBindsAlone":true}}`: true,
	} {
		_, list, cold, err := parse(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if list.OnlyDrainsExclude != onlyDrains || cold.ProxyCount != 3 || cold.ProxyIndex != 2 {
			t.Errorf("%s: %+v %+v", text, list, cold)
		}
	}
}

// TestBudget checks that a retry budget is taken over if it is complete and valid, that an incomplete or invalid one is
// refused with the name of the setting, and that there is none if all its settings are absent.
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
		switch budget, _, _, err := parse(head + text); {
		case want == "" && err != nil, want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: %v, not %q", text, err, want)
		case want == "" && (budget.Window > 0) != strings.Contains(text, "budgetWindow"):
			t.Errorf("%s: %+v", text, budget)
		}
	}
}

// parse returns the parts of the settings that the tests check.
func parse(text string) (budget choice.RetryBudget, list choice.ListSettings, cold choice.ColdSettings, err error) {
	var (
		listeners   []choice.Listener
		dials       choice.DialLimits
		peerReports choice.PeerReportSettings
	)
	err = ParseBalancer([]byte(text), &listeners, &dials, &budget, &list, &cold, &peerReports)
	return budget, list, cold, err
}
