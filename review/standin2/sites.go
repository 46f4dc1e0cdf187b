package main

import "time"

// Settings in the form of the simulator's first message, with figures from the ranges of the site files.

type object = map[string]any

// lulea is the deployment of deploy/sites/lulea-depot: lists are pushed, sessions pass through, 300 ms of grace.
func lulea(me, proxies int) object {
	settings := kigali(me, proxies)
	settings["areas"], settings["discovery"] = []string{"gammelstad", "notviken"}, "push"
	settings["ceilings"].(object)["mostDials"] = 5
	invariants := settings["invariants"].(object)
	invariants["mustAskIn"], invariants["stopSendingWithin"] = 0, 300
	settings["listeners"] = []object{
		listener("shelf-count", 300, 3000, 2), listener("belt-state", 800, 9600, 1),
		listener("lorry-feed", 800, 6400, 1), listener("picker-task", 300, 4000, 5)}
	settings["tenants"] = []object{{"name": "rimfrost", "fraction": 0.12, "quotaRps": 3}}
	return settings
}

// brussel is the deployment of brussel-live: lists are asked for, sessions pass through, 1 s of grace.
func brussel(me, proxies int) object {
	return object{
		"areas": []string{"anderlecht", "zaventem"}, "az": 0, "discovery": "ask", "groupSize": proxies, "me": me,
		"ceilings": object{"cancel": true, "connIdle": 10000, "connectTimeout": 150, "cpuUsPerRequest": 10, "cpuUsPerS": 15000,
			"maxRetryAfter": 1500, "mostDials": 4, "mostHeld": 1000000, "parallelTries": false, "peers": false, "probes": false,
			"retryAfter": false, "streamsPerConn": 1},
		"clients": object{"marksRetry": false},
		"domain": object{"groups": true, "messageAim": []int{100, 100, 150, 150}, "mode": "pass", "park": 7000, "tellsDelay": true,
			"tellsLoad": true},
		"domainType": "conn",
		"invariants": object{"answerSlack": 8, "cold": 22000, "coldFrom": 0.14, "fallMultiple": 3, "mustAskIn": 10000,
			"stopSendingWithin": 1000, "tipAfter": 3000},
		"listeners": []object{
			listener("page-feed", 800, 3200, 1), listener("widget-feed", 500, 2000, 1), listener("studio-feed", 300, 1200, 3)},
		"skus":      []string{"large-3c"},
		"telemetry": object{"fields": []string{}, "how": "off"},
		"tenants":   []object{{"name": "noordstem", "fraction": 0.2, "quotaRps": 3}},
		"tick":      2, "tier": 0, "tiers": []string{"push-fleet"}, "utilityBy": "request", "weights": "nominal",
	}
}

// kigali is the deployment of kigali-portal: lists are asked for, sessions pass through, 250 ms of grace.
func kigali(me, proxies int) object {
	settings := brussel(me, proxies)
	settings["areas"] = []string{"kigali-nyarugenge", "muhanga"}
	ceilings := settings["ceilings"].(object)
	ceilings["connectTimeout"], ceilings["mostDials"], ceilings["retryAfter"], ceilings["maxRetryAfter"] = 250, 6, true, 2000
	domain := settings["domain"].(object)
	domain["messageAim"], domain["tellsLoad"] = []int{100, 250, 150, 60}, false
	settings["invariants"] = object{"answerSlack": 8, "cold": 8400, "coldFrom": 0.3, "fallMultiple": 4, "mustAskIn": 10000,
		"stopSendingWithin": 250, "tipAfter": 2000}
	settings["listeners"] = []object{
		listener("balance-live", 300, 1200, 2), listener("signal-status", 800, 4800, 1),
		listener("outage-feed", 800, 3200, 1), listener("agent-topup", 300, 1800, 5)}
	settings["tenants"] = []object{{"name": "imirongo", "fraction": 0.5, "quotaRps": 10}, {"name": "akagera-net", "fraction": 0.5, "quotaRps": 10}}
	return settings
}

func listener(name string, target, dialTimeout, utility int) object {
	return object{"name": name, "handshakeTarget": target, "dialTimeout": dialTimeout, "effect": "read_like", "group": "all",
		"repeatWindow": 5000, "stream": true, "overdueUtility": 0, "utility": utility}
}

// config returns a proxy's configuration file without its name and address.
func config(d *discovery, settings object, known list) map[string]any {
	return map[string]any{"discovery": d.address, "seed": "8c1f30d27a5be964", "known": known, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
}

// graceSlack is what the protocol page adds to each time limit of the rules.
const graceSlack = 50 * time.Millisecond
