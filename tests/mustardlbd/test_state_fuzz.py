"""Fuzz test of the shared state: random faults, checked by the oracle."""

import os

import fleet as fleets
import hypothesis
from hypothesis import strategies as st
import state_script

from mustardlb_standins import faults

NAMES = ['contract/midland', 'keys/midland', 'route/draft']

# Number of examples; STATE_FUZZ_EXAMPLES overrides the default of 12.
EXAMPLES = int(os.environ.get('STATE_FUZZ_EXAMPLES', '12'))

vm_ids = st.sampled_from(state_script.VMS)
names = st.sampled_from(NAMES)
api_faults = st.sampled_from(
    [
        faults.Fault('get:*', faults.Kind.STALE, times=8),
        faults.Fault('watch:*', faults.Kind.SILENT, times=6),
        faults.Fault('watch:*', faults.Kind.SKIP, times=4),
        faults.Fault('put:*', faults.Kind.RESPONSE_LOST, times=4),
        faults.Fault('put:*', faults.Kind.LATE, seconds=3, times=3),
        faults.Fault('put:*', faults.Kind.DELAY, seconds=1.2, times=8),
        faults.Fault('get:*', faults.Kind.DROP, seconds=1, times=4),
    ]
)
waits = st.tuples(st.just('wait'), st.floats(0.1, 6.0))
writes = st.one_of(
    st.tuples(st.just('apply'), names, st.sampled_from([b'a', b'invalid'])),
    st.tuples(st.just('withdraw'), names),
    st.tuples(st.just('race'), names),
)
network_faults = st.one_of(
    st.tuples(
        st.just('partition'), st.sets(vm_ids, min_size=1), st.booleans()
    ),
    st.tuples(st.just('cut'), vm_ids, vm_ids),
    st.tuples(st.just('cut_api'), vm_ids, st.booleans()),
    st.tuples(st.just('lag'), vm_ids),
    st.tuples(st.just('mend')),
)
process_faults = st.one_of(
    st.tuples(st.just('pause'), vm_ids),
    st.tuples(st.just('resume'), vm_ids),
    st.tuples(st.just('restart'), vm_ids),
    st.tuples(st.just('replace'), vm_ids),
    st.tuples(st.just('leave'), vm_ids),
)
api_outages = st.one_of(
    st.tuples(st.just('api_down')),
    st.tuples(st.just('api_up')),
    st.tuples(st.just('api_fault'), api_faults),
)
actions = st.one_of(waits, writes, network_faults, process_faults, api_outages)


# Hypothesis derives its examples from the name and body of the test function.
# tools/matrix.toml names this test for faults that these examples contain.
@hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize='STATE_FUZZ_EXAMPLES' not in os.environ,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    st.lists(actions, min_size=4, max_size=20), st.integers(0, 9)
)
def test_nothing_breaks_the_promises(script, seed):
    async def scenario(fleet):
        await state_script.play_all(fleet, script)

    fleets.run(scenario, state_script.SIZE, seed)
