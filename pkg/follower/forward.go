package follower

import (
	"context"
	"slices"

	"carawayshift.example/carawayshift"
)

// proposeReply is an Answer with the field that the encoding of Answer omits.
type proposeReply struct {
	Answer   carawayshift.Answer `cbor:"1,keyasint"`
	Repeated bool                `cbor:"2,keyasint,omitempty"`
}

type barrierMessage struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
}

// Propose implements carawayshift.Log. It forwards the command to the leader.
func (f *Follower) Propose(ctx context.Context, c carawayshift.Command) (carawayshift.Answer, error) {
	if f.cfg.Log != nil {
		return f.cfg.Log.Propose(ctx, c)
	}
	var out proposeReply
	err := f.forward(ctx, methodPropose, c, &out)
	out.Answer.Repeated = out.Repeated
	return out.Answer, err
}

// Barrier implements carawayshift.Log. It forwards the call to the leader.
func (f *Follower) Barrier(ctx context.Context) (uint64, error) {
	if f.cfg.Log != nil {
		return f.cfg.Log.Barrier(ctx)
	}
	return f.forwardBarrier(ctx)
}

// forwardBarrier calls one voter after the other, whatever the error, because
// retrying a read is safe.
func (f *Follower) forwardBarrier(ctx context.Context) (uint64, error) {
	err := error(carawayshift.NewError(carawayshift.NotRun, "no voter is known", "check [peers] in the settings"))
	for _, host := range f.voterOrder() {
		var out barrierMessage
		err = f.call(ctx, barrierTimeout, host, methodBarrier, barrierMessage{}, &out)
		if err == nil || ctx.Err() != nil {
			return out.Index, err
		}
	}
	return 0, err
}

// Leader implements carawayshift.Log. Its result is as old as the copy.
func (f *Follower) Leader() (host string, term uint64) {
	if f.cfg.Log != nil {
		return f.cfg.Log.Leader()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.term
}

// forward calls the leader, then the other voters. It tries the next voter only
// after an error of kind NotRun, which proves that nothing was executed.
func (f *Follower) forward(ctx context.Context, method string, in, out any) error {
	body, err := carawayshift.Encode(in)
	if err != nil {
		return err
	}
	err = carawayshift.NewError(carawayshift.NotRun, "no voter is known", "check [peers] in the settings")
	for _, host := range f.voterOrder() {
		var reply []byte
		reply, err = f.cfg.Transport.Call(ctx, host, method, body)
		if err == nil {
			return carawayshift.Decode(reply, out)
		}
		if carawayshift.KindOf(err) != carawayshift.NotRun || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// voterOrder lists the voters, the leader first.
func (f *Follower) voterOrder() []string {
	hosts := slices.Clone(f.cfg.Voters())
	if leader, _ := f.Leader(); leader != "" {
		hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == leader })
		hosts = append([]string{leader}, hosts...)
	}
	return hosts
}

func (f *Follower) handlePropose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var c carawayshift.Command
	if err := carawayshift.Decode(body, &c); err != nil {
		return nil, err
	}
	if f.cfg.Log == nil {
		return nil, notVoterError(f.cfg.Host)
	}
	a, err := f.cfg.Log.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	return carawayshift.Encode(proposeReply{Answer: a, Repeated: a.Repeated})
}

func (f *Follower) handleBarrier(ctx context.Context, _ string, _ []byte) ([]byte, error) {
	if f.cfg.Log == nil {
		return nil, notVoterError(f.cfg.Host)
	}
	index, err := f.cfg.Log.Barrier(ctx)
	if err != nil {
		return nil, err
	}
	return carawayshift.Encode(barrierMessage{Index: index})
}

func notVoterError(host string) error {
	return carawayshift.NewError(carawayshift.NotRun, "host "+host+" is not a voter", "ask a voter")
}
