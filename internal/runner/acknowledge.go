package runner

// acknowledgement says up to which number the ends of an incarnation are recorded.
type acknowledgement struct {
	Incarnation
	number uint64
}

// acknowledgements are those of the polls so far.
type acknowledgements struct {
	sent     acknowledgement // in the last poll that had one
	answered acknowledgement // in the last such poll that was answered
}

// nextAcknowledgement returns the number up to which the next poll acknowledges ends, or 0 if an
// answered poll has done so. The next incarnation with the same id counts its ends anew: it
// would forget ends that nobody has seen by a poll that was sent before its start was noticed,
// so as few polls as possible carry a number. The caller holds c.mu.
func (c *Controller) nextAcknowledgement() uint64 {
	next := acknowledgement{c.info.Incarnation, c.recordedEnd}
	if next == c.acknowledgements.answered {
		return 0
	}
	c.acknowledgements.sent = next
	return next.number
}

// noteAcknowledged records that the last poll was answered.
func (c *Controller) noteAcknowledged(call PollCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Recorded != 0 {
		c.acknowledgements.answered = c.acknowledgements.sent
	}
}
