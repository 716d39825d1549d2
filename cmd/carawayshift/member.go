package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayshift.example/carawayshift"
)

// memberChangeTimeout includes the time in which a learner that is slightly
// behind catches up with the log.
const memberChangeTimeout = 15 * time.Second

type memberCmd struct {
	Op    string `arg:"" enum:"add,promote,remove" help:"add (as a learner), promote (to a voter) or remove."`
	Host  string `arg:"" help:"Name of the host."`
	Entry string `help:"Base URL of a control host's operators' address." default:"http://127.0.0.1:8481" env:"CARAWAYSHIFT_ENTRY"`
}

type memberRequest struct {
	Op   string `json:"op"`
	Host string `json:"host"`
}

type memberReply struct {
	Members []struct {
		Host  string `json:"host"`
		Voter bool   `json:"voter"`
	} `json:"members"`
	Error  string            `json:"error"`
	Kind   carawayshift.Kind `json:"kind"`
	Remedy string            `json:"remedy"`
}

// Run changes the members of the replicated group and prints them.
func (c *memberCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	body, err := json.Marshal(memberRequest{c.Op, c.Host})
	if err != nil {
		return errors.Wrap(err, "member")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Entry+"/v1/members", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "member")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "member: it is unknown whether the change was made; check the members before you retry")
	}
	defer resp.Body.Close()
	var reply memberReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return errors.Wrap(err, "member")
	}
	if reply.Kind != "" {
		return carawayshift.NewError(reply.Kind, reply.Error, reply.Remedy)
	}
	for _, m := range reply.Members {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		fmt.Println(m.Host, role)
	}
	return nil
}
