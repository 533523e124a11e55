package group

import (
	"context"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"
)

// State is a state of a group's state machine; see Next.
type State string

// States of a group. Only a serving group receives new requests.
const (
	StateLoading   State = "loading"   // members are reserved and receive their assignment
	StateServing   State = "serving"   // every member was seen ready at this epoch
	StateSuspended State = "suspended" // the epoch is over and members are released
	StateDraining  State = "draining"  // finishes running requests, accepts no new ones
	StateRetiring  State = "retiring"  // members are being released, the group is then removed
	StateReleased  State = "released"  // removed from the domain object
)

// Trigger is an event that changes a group's state.
type Trigger string

// Triggers of the state machine.
const (
	TriggerVerified   Trigger = "verified"    // all members were seen ready
	TriggerMemberLost Trigger = "member-lost" // dead, restarted or reassigned
	TriggerDrain      Trigger = "drain"       // a member is leaving, or the group is surplus
	TriggerFinished   Trigger = "finished"    // a draining group has no requests left
	TriggerReplace    Trigger = "replace"     // a new epoch with another member
	TriggerRetire     Trigger = "retire"      // release the VMs for good
	TriggerReleased   Trigger = "released"    // all members were seen without an assignment, or are gone
)

// ErrTriggerNotPermitted is returned by Next if the state does not permit the trigger.
const ErrTriggerNotPermitted = errors.ConstError("group: trigger not permitted")

// Next returns the state after a trigger, or s and an error that wraps
// ErrTriggerNotPermitted:
//
//	loading ─verified→ serving ─member-lost→ suspended ─replace→ loading
//	serving ─drain→ draining ─finished→ suspended
//	loading, suspended, draining ─retire→ retiring ─released→ released
func Next(s State, t Trigger) (State, error) {
	m := newMachine(s)
	if err := m.FireCtx(context.Background(), t); err != nil {
		return s, errors.WithType(errors.Annotatef(err, "%s in state %s", t, s), ErrTriggerNotPermitted)
	}
	return m.MustState().(State), nil
}

func newMachine(s State) *stateless.StateMachine {
	m := stateless.NewStateMachine(s)
	m.Configure(StateLoading).
		Permit(TriggerVerified, StateServing).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateServing).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerDrain, StateDraining)
	m.Configure(StateSuspended).
		Permit(TriggerReplace, StateLoading).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateDraining).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerFinished, StateSuspended).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateRetiring).
		Permit(TriggerReleased, StateReleased)
	return m
}
