package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dewlift/wire"
)

const (
	// keyMemberList is the prefix of the lists of controllers with which the controllers run, by controller.
	keyMemberList = Root + "members/"

	// memberListInterval is the minimum time between two attempts to write the own list.
	memberListInterval = time.Second
)

// memberLists holds the lists of controllers with which the controllers run, each with itself. They differ while a
// cluster grows or shrinks; package quorum then needs a majority of each.
type memberLists struct {
	*environment
	own         []string
	lists       map[string][]string // as stored, by controller
	revisions   map[string]uint64   // of the stored lists
	inFlight    bool                // a write of the own list
	nextWriteAt time.Duration
	differing   string // controllers whose lists differ from the own one, as last logged
}

func newMemberLists(env *environment) memberLists {
	own := append([]string{env.cfg.Name}, env.cfg.Peers...)
	slices.Sort(own)
	return memberLists{environment: env, own: own, lists: map[string][]string{}, revisions: map[string]uint64{}}
}

// isOwnStored reports whether the replica has the own list.
func (l *memberLists) isOwnStored() bool { return slices.Equal(l.lists[l.cfg.Name], l.own) }

// inUse returns the other controllers whose lists are in use, in name order, as far as they differ from the own list.
// A controller that is neither in the own list nor registered is not in use any more: those that have the own list do
// not answer it.
func (l *memberLists) inUse(registrations map[string]leasedKey) (names []string) {
	for _, name := range sortedKeys(l.lists) {
		_, registered := registrations[name]
		if name != l.cfg.Name && (registered || slices.Contains(l.own, name)) && !slices.Equal(l.lists[name], l.own) {
			names = append(names, name)
		}
	}
	return names
}

// storeMemberList writes the own list until it is stored.
func (c *Core) storeMemberList() {
	state := &c.memberLists
	if state.isOwnStored() || state.inFlight || c.now < state.nextWriteAt || !c.ownLease.isHeld() ||
		c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	raw, err := json.Marshal(state.own)
	if err != nil {
		panic(err) // cannot fail: a list of strings
	}
	state.inFlight, state.nextWriteAt = true, c.now+memberListInterval
	key := keyMemberList + c.cfg.Name
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: key, Revision: state.revisions[c.cfg.Name]}},
		Then:    []wire.Write{{Put: key, Value: raw}},
	}
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		state.inFlight = false
		if status == wire.StatusOK && reply.Revision >= state.revisions[c.cfg.Name] {
			state.lists[c.cfg.Name], state.revisions[c.cfg.Name] = state.own, reply.Revision
			c.updateQuorumLists()
		}
	}})
}

// applyMemberList applies the stored list of a controller.
func (c *Core) applyMemberList(key string, raw json.RawMessage, revision uint64) error {
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return fmt.Errorf("decode list of controllers: %w", err)
	}
	if len(list) == 0 {
		return errors.New("decode list of controllers: it is empty")
	}
	name := strings.TrimPrefix(key, keyMemberList)
	if revision >= c.memberLists.revisions[name] {
		c.memberLists.lists[name], c.memberLists.revisions[name] = list, revision
		c.updateQuorumLists()
	}
	return nil
}

// updateQuorumLists sets the lists of controllers of which majorities are needed. It is called whenever a list or the
// registration of a controller changes, and when a snapshot load begins or ends: there are no majorities meanwhile.
func (c *Core) updateQuorumLists() {
	state := &c.memberLists
	names := state.inUse(c.controllers.registrations)
	var others [][]string
	for _, name := range names {
		others = append(others, state.lists[name])
	}
	c.cancelAcks.quorum.SetMemberLists(c.replica.loaded && state.isOwnStored(), others)
	if differing := strings.Join(names, " "); differing != state.differing && c.replica.loaded {
		state.differing = differing
		c.log(LevelInfo, "lists of peers differ: cancellations need a majority of each", "controllers", differing)
	}
}
