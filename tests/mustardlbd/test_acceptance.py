"""Which attestations count towards a quorum, and which do not."""

import hypothesis
from hypothesis import strategies as st

from mustardlbd import _acceptance
from mustardlbd import _attestations
from mustardlbd import _notifier
from mustardlbd import _poll_messages
from mustardlbd import _tree_layout

VMS = frozenset(['a', 'b', 'c'])


class Counter:
    """An Acceptance with its Attestations, on a clock that tests set."""

    def __init__(self):
        self.time = 100.0
        self.attestations = _attestations.Attestations(lambda: self.time)
        self.acceptance = _acceptance.Acceptance(
            lambda: self.time, 1, _notifier.Notifier()
        )

    def attest(self, vm_id, version, incarnation=1):
        self.attestations.add(
            _attestations.Attestation(
                _tree_layout.vm_hash(vm_id), incarnation, (version,), self.time
            )
        )
        self.time += 0.01

    def count(self, voter_sets=(VMS,)):
        """Count twice, half a second apart; return the accepted version."""
        for _ in range(2):
            self.acceptance.count_votes(self.attestations.recent(), voter_sets)
            self.time += 0.5
        return self.acceptance.accepted()[0]


def test_majority_is_accepted_at_its_second_count():
    counter = Counter()
    counter.attest('a', 7)
    counter.attest('b', 7)
    assert counter.count() == 0
    counter.attest('a', 7)
    assert counter.count() == 0
    counter.attest('b', 7)
    assert counter.count() == 7


def test_restarted_process_does_not_count():
    counter = Counter()
    counter.attest('a', 7)
    counter.attest('b', 7)
    counter.count()
    # The restart lost the version; it holds it again, but not throughout.
    counter.attest('a', 7, incarnation=2)
    counter.attest('b', 7)
    assert counter.count() == 0


def test_majority_of_each_voter_set_is_needed():
    counter = Counter()
    grown = VMS | {'d', 'e'}
    for _ in range(3):
        counter.attest('a', 7)
        counter.attest('b', 7)
        assert counter.count((VMS, grown)) == 0
    counter.attest('d', 7)
    for _ in range(3):
        for vm_id in ('a', 'b', 'd'):
            counter.attest(vm_id, 7)
        counter.count((VMS, grown))
    assert counter.acceptance.accepted() == (7,)


def test_version_has_propagated_only_after_the_delay():
    counter = Counter()
    counter.acceptance.mark_accepted(0, 7)
    counter.time += 4.9
    assert not counter.acceptance.has_propagated(0, 7)
    counter.time += 0.2
    assert counter.acceptance.has_propagated(0, 7)
    assert not counter.acceptance.has_propagated(0, 8)


def test_higher_attested_version_prevents_confirmation():
    attestations = [
        _attestations.Attestation(
            _tree_layout.vm_hash(vm_id), 1, (version,), 5.0
        )
        for vm_id, version in (('a', 1), ('b', 2), ('c', 1))
    ]
    confirmed_at = _attestations.quorum_confirmed_at
    assert confirmed_at(attestations, (2,), (VMS,)) == 5.0
    assert confirmed_at(attestations, (1,), (VMS,)) == 5.0
    assert confirmed_at(attestations[:2], (1,), (VMS,)) < 0


@hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
@hypothesis.given(
    st.floats(0, 1e6),
    st.floats(-1e6, 1e6),
    st.lists(st.floats(0, 8), min_size=4, max_size=4),
)
def test_attestation_never_looks_newer_than_it_is(stamped, offset, gaps):
    """Whatever the delays, `made` at the parent is not after the truth.

    The clocks of parent and child differ by `offset`. The stamp travels,
    the child waits and attests, waits again and polls; the poll travels.
    """
    to_child, before, after, to_parent = gaps
    attested = stamped + to_child + before
    received, made = stamped + to_child + offset, attested + offset
    sent = made + after
    one = _attestations.Attestation(1, 2, (3,), made - received)
    sent_poll = _poll_messages.Poll(
        versions=(3,),
        accepted=(3,),
        stamp=_poll_messages.Stamp(stamped, 9),
        since_stamp=sent - received,
        hold=1.0,
        age=0.0,
        step=0.7,
        attestations=[one],
    )
    poll = _poll_messages.decode_poll(_poll_messages.encode_poll(sent_poll))
    (arrived,) = poll.attestations
    parent_made = poll.stamp.time + arrived.made
    assert parent_made <= attested + 1e-6
    # It is not useless either: the stamp's journey is what it loses.
    assert parent_made >= attested - to_child - 0.01
