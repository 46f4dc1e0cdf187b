package main

import (
	"time"

	"chalkferry/choice"
	"chalkferry/internal/benchwire"
)

// front implements choice.Front: it appends the actions of one instance to the reply to the current batch.
type front struct {
	instance benchwire.InstanceID
	reply    *benchwire.Reply
}

func (f front) Dial(id choice.SessionID, server choice.ServerID, timeout time.Duration) {
	f.reply.Dial(f.instance, id, server, timeout)
}

func (f front) Refuse(id choice.SessionID, retryAfter time.Duration) {
	f.reply.Refuse(f.instance, id, retryAfter)
}

func (f front) Abort(id choice.SessionID) { f.reply.Abort(f.instance, id) }

func (f front) Move(id choice.SessionID) { f.reply.Move(f.instance, id) }

func (f front) StartTimer(after time.Duration, token choice.TimerToken) {
	f.reply.StartTimer(f.instance, after, token)
}

func (f front) PublishOverload(server choice.ServerID, delay time.Duration) {
	f.reply.PublishOverload(f.instance, server, delay)
}

func (f front) SubscribeList() { f.reply.SubscribeList(f.instance) }

func (f front) Log(line string) { f.reply.Log(f.instance, line) }
