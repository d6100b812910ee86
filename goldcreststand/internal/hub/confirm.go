package hub

import (
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
)

const (
	// maxConfirmAge is the age up to which the copy of another instance confirms the configuration of one that starts. A
	// revoked key must not be accepted 2.5 s after its revocation, and changes take up to 1.2 s to arrive.
	maxConfirmAge = time.Second
	// confirmTimeout is the time after the start from which on an unconfirmed configuration is used. The store is read
	// within 1 s of the start when the other instances are out of date (relay.Subscription), and replies in several
	// hundred milliseconds.
	confirmTimeout = 2 * time.Second
)

// The configuration of an instance that starts may come from another instance that is out of date, and hold keys that
// were revoked since. One with organisations is used when it is confirmed: by the store, or by an instance whose copy is
// recent. When neither can be had, the store is most likely away, and what the other instances use must do.

// confirmByStore records that the store itself returned the configuration.
func (st *state) confirmByStore(b store.Batch[*rules.Config]) {
	if b.Complete && !st.importing() {
		st.confirmConfig("store")
	}
}

// confirmByPeer records the reply of another instance.
func (st *state) confirmByPeer(e PollCompleted) {
	if e.Err == nil && e.Age <= maxConfirmAge {
		st.confirmConfig("instance")
	}
}

// confirmWithoutStore uses the configuration when the store does not reply or nothing has confirmed it in time.
func (st *state) confirmWithoutStore() {
	_, unavailable := st.unavailableSince[KindConfig]
	if unavailable || st.now.Sub(st.started) >= confirmTimeout {
		st.confirmConfig("none")
	}
}

// confirmConfig ends the wait for a confirmation, if there is a configuration that can be confirmed.
func (st *state) confirmConfig(by string) {
	if st.confirmed || st.config == nil {
		return
	}
	st.confirmed, st.changed = true, true
	if st.config.Access != nil {
		st.logChange("configuration with organisations in use", logrus.Fields{
			"config": st.config.Version, "confirmed": by, "age": st.freshness().Age.Milliseconds(),
		})
	}
}
