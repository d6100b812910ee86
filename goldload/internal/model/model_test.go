package model_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
	"goldcreststand.example/goldload/internal/model"
)

func policy(p route.Picker, a model.Admission) model.Policy {
	return model.Policy{Picker: func() route.Picker { return p }, Splitter: limit.LocalFirstSplitter{}, Admit: a}
}

// extremes returns the services with the most and the fewest slots.
func extremes() []model.Deployment {
	all := model.Deployments()
	return []model.Deployment{all[0], all[len(all)-1]}
}

func scenario(d model.Deployment, load float64, faults ...model.Fault) model.Scenario {
	return model.Scenario{Deployment: d, Load: load, Faults: faults, Deadline: 250 * time.Millisecond, Time: 3 * time.Second, Seed: 1}
}

// Guards against more calls in flight at a server than it has slots while instances and failure
// domains come and go, in the code that the daemon uses.
func TestServersNeverExceedSlots(t *testing.T) {
	for _, d := range extremes()[1:] {
		for _, f := range []model.Fault{model.DomainOut{}, model.Restart{Count: 1}, model.Restart{Count: 3}} {
			for _, sp := range []limit.Splitter{limit.LocalFirstSplitter{}, limit.EvenSplitter{}} {
				t.Run(fmt.Sprintf("%s %s %T", d.Name, f.Name(), sp), func(t *testing.T) {
					p := policy(route.Proportional{}, model.AdmitQueue)
					p.Splitter = sp
					s := scenario(d, 0.8, f)
					s.Time = 12 * time.Second
					r := model.Run(s, p)
					require.Zero(t, r.Over)
					require.Positive(t, r.Part(model.Completed))
				})
			}
		}
	}
}

// Guards against a server that fails fast and attracts traffic.
func TestFastFailingServerLosesTraffic(t *testing.T) {
	for _, d := range extremes() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.5, model.FastFail{})
			now := model.Run(s, policy(route.Proportional{}, model.AdmitQueue)).Part(model.Failed)
			base := model.Run(s, policy(route.LeastInflight{}, model.AdmitQueue)).Part(model.Failed)
			require.Less(t, now, base/5)
		})
	}
}

// Guards against a failure domain that leaves and takes the slots of the rest with it.
func TestDomainOutKeepsService(t *testing.T) {
	for _, d := range extremes() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.5, model.DomainOut{})
			s.Time = 12 * time.Second
			r := model.Run(s, policy(route.Proportional{}, model.AdmitQueue))
			require.Less(t, r.Part(model.Rejected)+r.Part(model.Late), 0.001)
		})
	}
}

// Guards against a tenant's wave that has the calls of other tenants rejected, and against calls that
// are started and not completed in time.
func TestWavesSpareOtherTenants(t *testing.T) {
	for _, d := range extremes() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.8)
			s.Waves = true
			r := model.Run(s, policy(route.Proportional{}, model.AdmitQueue))
			require.Less(t, r.CalmRejected(), 0.001)
			require.Less(t, r.UrgentRejected(), 0.001)
			require.Less(t, r.Part(model.Late), 0.001)
			require.Less(t, r.Part(model.Rejected), model.Run(s, policy(route.Proportional{}, model.AdmitNow)).Part(model.Rejected))
		})
	}
}

// Guards against a comparison that gives other figures in the next run, or with more runs at a time.
func TestCompareRepeats(t *testing.T) {
	for _, name := range model.Sections() {
		t.Run(name, func(t *testing.T) {
			out := make([]strings.Builder, 2)
			for i := range out {
				o := model.Options{Deployments: model.Deployments()[3:], Time: time.Second, Deadline: 250 * time.Millisecond, Seed: 7, Workers: 1 + 3*i}
				require.NoError(t, model.Compare(&out[i], name, o))
			}
			require.Equal(t, out[0].String(), out[1].String())
		})
	}
	require.Error(t, model.Compare(new(strings.Builder), "nothing", model.Options{}))
}
