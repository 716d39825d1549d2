package replica

import "context"

// pauseWrites gives up the leadership because the disk is full. The host takes
// part in no election until there is space; what needs no write goes on. The
// caller holds r.mu.
func (r *Replica) pauseWrites(cause error) {
	if r.diskFull || !r.running {
		return
	}
	r.diskFull = true
	r.log.WithError(cause).WithField("event", "disk full").Error("no space in the data folder: this host neither leads nor acknowledges entries until there is space")
	r.stepDown("its disk is full")
	go r.freeSpace()
	r.notify()
}

// freeSpace drops the log entries that the newest snapshot covers.
func (r *Replica) freeSpace() {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.ElectionTimeout)
	defer cancel()
	if r.lockDisk(ctx) != nil {
		return // the next append or probe finds out whether there is space
	}
	defer r.unlockDisk()
	index, _ := r.journal.SnapshotIndex()
	if err := r.journal.Compact(index); err != nil {
		_ = r.fail(err)
	}
}

// resumeWrites records that a write has succeeded. The caller holds r.mu.
func (r *Replica) resumeWrites() {
	if !r.diskFull {
		return
	}
	r.diskFull = false
	r.log.WithField("event", "disk has room").Info("the data folder is writable again")
	r.notify()
}

// hasSpace reports whether the disk can take entries. If it was full, it is
// tested.
func (r *Replica) hasSpace(ctx context.Context) bool {
	r.mu.Lock()
	full := r.diskFull
	r.mu.Unlock()
	if !full {
		return true
	}
	if r.lockDisk(ctx) != nil {
		return false
	}
	defer r.unlockDisk()
	if err := r.journal.CheckSpace(); err != nil {
		_ = r.fail(err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumeWrites()
	return true
}
