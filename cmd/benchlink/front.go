package main

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// front is a choice.Front that writes one instance's answers into the present reply.
type front struct {
	instance benchwire.InstanceID
	reply    *benchwire.Reply
}

func (f front) Dial(id choice.SessionID, to choice.ServerID, limit time.Duration) {
	f.reply.Dial(f.instance, id, to, limit)
}

func (f front) Refuse(id choice.SessionID, retryAfter time.Duration) {
	f.reply.Refuse(f.instance, id, retryAfter)
}

func (f front) Abort(id choice.SessionID) { f.reply.TearDown(f.instance, id) }

func (f front) Move(id choice.SessionID) { f.reply.Move(f.instance, id) }

func (f front) StartTimer(after time.Duration, token choice.TimerToken) {
	f.reply.Timer(f.instance, after, token)
}

func (f front) PublishOverload(server choice.ServerID, delay time.Duration) {
	f.reply.Publish(f.instance, server, delay)
}

func (f front) SubscribeList() { f.reply.Watch(f.instance) }

func (f front) Log(line string) { f.reply.Log(f.instance, line) }
