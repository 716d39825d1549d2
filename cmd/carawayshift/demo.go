package main

import "context"

type demoCmd struct{}

// Run is replaced by the deployment in one process.
func (c *demoCmd) Run(context.Context) error { return nil }
