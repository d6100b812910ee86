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
	return model.Policy{Picker: func() route.Picker { return p }, Splitter: limit.LocalFirstSplitter{}, Admission: a}
}

// largestAndSmallest returns the services with the most and the fewest slots.
func largestAndSmallest() []model.Deployment {
	all := model.Deployments()
	return []model.Deployment{all[0], all[len(all)-1]}
}

func scenario(d model.Deployment, load float64, faults ...model.Fault) model.Scenario {
	return model.Scenario{Deployment: d, Load: load, Faults: faults, Deadline: 250 * time.Millisecond, Duration: 3 * time.Second, Seed: 1}
}

// Guards against more calls in flight at a server than it has slots while instances and failure domains
// stop and start again. The simulation runs the decision code of goldcreststand.
func TestServersNeverExceedSlots(t *testing.T) {
	for _, d := range largestAndSmallest()[1:] {
		for _, f := range []model.Fault{model.DomainOutage{}, model.InstanceRestart{Count: 1}, model.InstanceRestart{Count: 3}} {
			for _, sp := range []limit.Splitter{limit.LocalFirstSplitter{}, limit.EvenSplitter{}} {
				t.Run(fmt.Sprintf("%s %s %T", d.Name, f.Name(), sp), func(t *testing.T) {
					p := policy(route.Proportional{}, model.AdmissionQueue)
					p.Splitter = sp
					s := scenario(d, 0.8, f)
					s.Duration = 12 * time.Second
					r := model.Run(s, p)
					require.Zero(t, r.MaxExcess)
					require.Positive(t, r.Fraction(model.OutcomeCompleted))
				})
			}
		}
	}
}

// Guards against sending more traffic to a server that fails fast because it has few calls in flight.
func TestFastFailingServerGetsLessTraffic(t *testing.T) {
	for _, d := range largestAndSmallest() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.5, model.FastFailure{})
			proportional := model.Run(s, policy(route.Proportional{}, model.AdmissionQueue)).Fraction(model.OutcomeFailed)
			leastInflight := model.Run(s, policy(route.LeastInflight{}, model.AdmissionQueue)).Fraction(model.OutcomeFailed)
			require.Less(t, proportional, leastInflight/5)
		})
	}
}

// Guards against the outage of a failure domain that makes slots in other failure domains unusable.
func TestDomainOutageKeepsServiceAvailable(t *testing.T) {
	for _, d := range largestAndSmallest() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.5, model.DomainOutage{})
			s.Duration = 12 * time.Second
			r := model.Run(s, policy(route.Proportional{}, model.AdmissionQueue))
			require.Less(t, r.Fraction(model.OutcomeRejected)+r.Fraction(model.OutcomeLate), 0.001)
		})
	}
}

// Guards against a burst of one tenant that gets calls of other tenants rejected, and against calls that
// are started and not completed before their deadline.
func TestBurstsOfOneTenantDoNotAffectOthers(t *testing.T) {
	for _, d := range largestAndSmallest() {
		t.Run(d.Name, func(t *testing.T) {
			s := scenario(d, 0.8)
			s.Bursts = true
			r := model.Run(s, policy(route.Proportional{}, model.AdmissionQueue))
			require.Less(t, r.SteadyRejected(), 0.001)
			require.Less(t, r.UrgentRejected(), 0.001)
			require.Less(t, r.Fraction(model.OutcomeLate), 0.001)
			require.Less(t, r.Fraction(model.OutcomeRejected), model.Run(s, policy(route.Proportional{}, model.AdmissionNoQueue)).Fraction(model.OutcomeRejected))
		})
	}
}

// Guards against a comparison whose results differ between executions or depend on the number of workers.
func TestCompareIsReproducible(t *testing.T) {
	for _, name := range model.Comparisons() {
		t.Run(name, func(t *testing.T) {
			out := make([]strings.Builder, 2)
			for i := range out {
				o := model.Options{Deployments: model.Deployments()[3:], Duration: time.Second, Deadline: 250 * time.Millisecond, Seed: 7, Workers: 1 + 3*i}
				require.NoError(t, model.Compare(&out[i], name, o))
			}
			require.Equal(t, out[0].String(), out[1].String())
		})
	}
	require.Error(t, model.Compare(new(strings.Builder), "nothing", model.Options{}))
}
