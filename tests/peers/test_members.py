"""Membership: updates commute, and running daemons refute suspicions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.exceptions import PeerMessageInvalid
from chutelink.ids import BootId, DaemonId
from chutelink.peers.messages import Heartbeat, decode_message, encode_message
from chutelink.tables.members import Member, MemberState, MemberTable, Role


def make_member(name="d1", incarnation=1, state=MemberState.ALIVE):
    return Member(
        DaemonId(name),
        Role.GATEWAY,
        "vm",
        "a",
        "127.0.0.1",
        1,
        2,
        BootId("boot"),
        incarnation,
        state,
    )


UPDATES = st.builds(
    make_member,
    name=st.sampled_from(["d2", "d3"]),
    incarnation=st.integers(1, 3),
    state=st.sampled_from(MemberState),
)


@given(st.lists(UPDATES, max_size=8), st.randoms(use_true_random=False))
def test_updates_in_any_order_give_the_same_view(updates, rng):
    views = []
    for _ in range(2):
        table = MemberTable(make_member("d1"))
        for member in updates:
            table.merge(member, 0.0)
        views.append(table.rows)
        rng.shuffle(updates)
    assert views[0] == views[1]


@given(st.lists(UPDATES, max_size=8))
def test_an_update_is_forwarded_once(updates):
    table = MemberTable(make_member("d1"))
    for member in updates:
        table.merge(member, 0.0)
        assert table.merge(member, 0.0) is None


def test_a_running_daemon_refutes_that_it_is_down():
    table = MemberTable(make_member("d1", 5))
    claim = make_member("d1", 5, MemberState.DOWN)
    refutation = table.merge(claim, 0.0)
    assert refutation.state is MemberState.ALIVE
    assert refutation.is_newer_than(claim)


def test_a_restarted_daemon_with_a_lower_incarnation_overrides_its_old_state():
    table = MemberTable(make_member("d1", 3))
    old = msgspec.structs.replace(make_member("d1", 9), boot_id=BootId("before"))
    assert table.merge(old, 0.0).is_newer_than(old)


def test_a_joining_gateway_is_not_listed_as_live():
    table = MemberTable(make_member("d1"))
    table.merge(make_member("d2", 1, MemberState.JOINING), 0.0)
    assert [m.id for m in table.live(Role.GATEWAY)] == ["d1"]
    table.merge(make_member("d2", 2, MemberState.ALIVE), 0.0)
    assert len(table.live(Role.GATEWAY)) == 2


def test_a_suspect_is_declared_down_unless_it_refutes():
    table = MemberTable(make_member("d1"))
    table.merge(make_member("d2", 1), 0.0)
    assert table.suspect(DaemonId("d2"), 10.0).state is MemberState.SUSPECT
    assert table.expire_suspects(11.0, 2.0) == []
    assert [m.state for m in table.expire_suspects(12.0, 2.0)] == [MemberState.DOWN]
    assert table.is_gone(DaemonId("d2"), BootId("boot"))
    table.merge(make_member("d2", 2), 13.0)
    assert not table.is_gone(DaemonId("d2"), BootId("boot"))


@given(st.binary(max_size=300))
def test_any_bytes_are_decoded_or_rejected(data):
    try:
        decode_message(data, "peer")
    except PeerMessageInvalid as error:
        assert error.peer == "peer"


def test_messages_round_trip_and_text_is_rejected():
    message = Heartbeat(7)
    assert decode_message(encode_message(message), "peer") == message
    with pytest.raises(PeerMessageInvalid):
        decode_message("text", "peer")
