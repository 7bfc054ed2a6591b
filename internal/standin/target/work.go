package target

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// work is a request in progress, which occupies a slot.
type work struct {
	attempt
	timer       *time.Timer
	serviceTime time.Duration
}

// admit starts a request. When all slots are in use it sheds the request, or ends the process of a
// cold target with CrashOnOverload.
func (t *Target) admit(a attempt, now time.Time) {
	t.countLoad(now)
	if len(t.work) >= t.capacity(now) {
		if t.cold(now) && t.opts.Cold.CrashOnOverload {
			t.stats.Crashes++
			t.restart(t.opts.Cold.RestartDelay)
			return
		}
		t.shed(a)
		return
	}
	t.stats.Requests[a.req.Class]++
	w := &work{attempt: a, serviceTime: t.serviceTime(a.req.Class)}
	t.work[a.key] = w
	end := t.finish
	wait := w.serviceTime
	if a.req.Deadline > 0 && a.req.Deadline < wait {
		wait, end = a.req.Deadline, t.expire
	}
	boot := t.boot
	w.timer = time.AfterFunc(wait, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.boot == boot && t.work[a.key] == w {
			delete(t.work, a.key)
			end(w)
		}
	})
}

// serviceTime returns a random service time for a request of a class.
func (t *Target) serviceTime(c core.Class) time.Duration {
	mean := t.opts.ServiceTime[c]
	return time.Duration(min(t.rng.ExpFloat64(), maxServiceFactor) * float64(mean))
}

// finish completes a request after its service time: it counts, records and answers it.
func (t *Target) finish(w *work) {
	t.stats.Answered++
	t.stats.BusyTime += w.serviceTime
	reply := t.reply(&w.attempt)
	switch {
	case w.req.Method == core.MethodSubscribe:
		t.subscribe(w, reply)
	case w.req.Sticky:
		t.handleBlock(w, reply)
	case !w.req.Idempotent:
		t.opts.Ledger.Record(reply.Key)
		t.answer(&w.attempt, codes.Changed, reply)
	case w.msg.Code == codes.GET && path(&w.msg) == PathLedger:
		reply.Runs = t.opts.Ledger.Runs(query(&w.msg, QueryKey))
		t.answer(&w.attempt, codes.Content, reply)
	case w.msg.Code == codes.GET:
		t.answer(&w.attempt, codes.Content, reply)
	default:
		t.answer(&w.attempt, codes.Changed, reply)
	}
}

// expire ends a request whose deadline passed before its service time ended. It sends no answer, because
// the client no longer waits for one.
func (t *Target) expire(*work) { t.stats.Expired++ }

// cancelMessage cancels the client's request with the given message id, or ends the feed whose last
// notification had that id.
func (t *Target) cancelMessage(client netip.AddrPort, mid uint16) {
	for key, w := range t.work {
		if key.client != client || uint16(w.msg.MessageID) != mid {
			continue
		}
		w.timer.Stop()
		delete(t.work, key)
		t.confirmCancel(&w.attempt)
		return
	}
	for key, f := range t.feeds {
		if key.client == client && f.lastMID == mid {
			t.endFeed(key)
			return
		}
	}
}

// confirmCancel answers a request that was cancelled before it ran. It sends nothing without load
// reports, because only a load report can carry the confirmation.
func (t *Target) confirmCancel(a *attempt) {
	t.stats.Cancelled++
	if !t.opts.ReportsLoad {
		return
	}
	report := t.report()
	report.Cancelled = true
	t.respond(a, codes.ServiceUnavailable, t.reply(a).encode(), report)
}

// shed refuses a request without running it. A packet without a valid token gets no answer.
func (t *Target) shed(a attempt) {
	t.stats.Shed++
	if len(a.msg.Token) != carrier.TokenSize {
		return
	}
	report := t.report()
	report.Shed = true
	code := codes.ServiceUnavailable
	if !t.opts.ReportsLoad {
		code = codes.TooManyRequests
	}
	t.respond(&a, code, t.reply(&a).encode(), report)
}

// reply returns the reply to a request with the fields that are common to all replies.
func (t *Target) reply(a *attempt) Reply {
	r := Reply{Target: t.opts.Name, Zone: t.opts.Zone, Boot: t.boot, Nonce: query(&a.msg, QueryNonce)}
	if len(a.msg.Payload) > 0 {
		r.Key = ContentKey(a.msg.Payload)
	}
	return r
}

// report returns the target's load report.
func (t *Target) report() carrier.Report {
	return carrier.Report{Load: core.LoadReport{
		InUse:    uint16(len(t.work)),
		Slots:    uint16(t.opts.Slots),
		Cold:     t.cold(time.Now()),
		Draining: !t.draining.IsZero(),
		BootID:   t.boot,
	}}
}

// answer answers a request that ran and keeps the answer for duplicates of the request.
func (t *Target) answer(a *attempt, code codes.Code, r Reply, opts ...message.Option) {
	datagram := t.respond(a, code, r.encode(), t.report(), opts...)
	t.answers.add(a.key, datagram)
}

// respond sends an answer and returns its datagram, or nil when it cannot be encoded.
func (t *Target) respond(a *attempt, code codes.Code, payload []byte, report carrier.Report, opts ...message.Option) []byte {
	m := message.Message{Type: message.NonConfirmable, Code: code, Token: a.msg.Token, MessageID: int32(t.messageID()), Payload: payload}
	for _, o := range opts {
		carrier.AddOption(&m, o.ID, o.Value)
	}
	if t.opts.ReportsLoad {
		carrier.AddOption(&m, carrier.OptionLoadReport, report.Encode())
		if report.Load.Cold && t.coldReported.IsZero() {
			t.coldReported = time.Now()
		}
	}
	datagram, err := carrier.AppendDatagram(nil, carrier.Header{Source: a.service, Destination: a.key.client}, &m)
	if err != nil {
		return nil
	}
	t.send(a.key.client, datagram)
	return datagram
}

// messageID returns the next CoAP message id.
func (t *Target) messageID() uint16 {
	t.nextMID++
	return t.nextMID
}

// send writes an answer with the losses, duplicates and delays that the target's behavior sets.
func (t *Target) send(client netip.AddrPort, datagram []byte) {
	b := t.behavior
	if t.chance(b.LossRate) {
		return
	}
	copies := 1
	if t.chance(b.DuplicateRate) {
		copies = 2
	}
	for range copies {
		if !t.chance(b.DelayRate) {
			t.write(client, datagram)
			continue
		}
		time.AfterFunc(b.Delay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.write(client, datagram)
		})
	}
}

// write sends a datagram to the VM that last sent a packet of the client.
func (t *Target) write(client netip.AddrPort, datagram []byte) {
	if f := t.flows[client]; f != nil {
		// The port of a VM that has ended refuses packets. The error is ignored because the VM that
		// serves the client next sends the request again.
		_ = t.socket.Write(datagram, f.vm)
	}
}

// chance reports true with the given probability.
func (t *Target) chance(rate float64) bool { return rate > 0 && t.rng.Float64() < rate }
