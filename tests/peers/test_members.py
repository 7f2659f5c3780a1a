"""Membership: news in any order gives the same view, and the living refute."""

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


NEWS = st.builds(
    make_member,
    name=st.sampled_from(["d2", "d3"]),
    incarnation=st.integers(1, 3),
    state=st.sampled_from(MemberState),
)


@given(st.lists(NEWS, max_size=8), st.randoms(use_true_random=False))
def test_news_in_any_order_gives_the_same_view(news, rng):
    views = []
    for _ in range(2):
        table = MemberTable(make_member("d1"))
        for member in news:
            table.merge(member, 0.0)
        views.append(table.rows)
        rng.shuffle(news)
    assert views[0] == views[1]


@given(st.lists(NEWS, max_size=8))
def test_news_is_passed_on_once(news):
    table = MemberTable(make_member("d1"))
    for member in news:
        table.merge(member, 0.0)
        assert table.merge(member, 0.0) is None


def test_the_living_refute_what_is_said_of_them():
    table = MemberTable(make_member("d1", 5))
    lie = make_member("d1", 5, MemberState.DOWN)
    truth = table.merge(lie, 0.0)
    assert truth.state is MemberState.ALIVE
    assert truth.is_newer_than(lie)


def test_a_restarted_daemon_whose_clock_went_back_is_believed():
    table = MemberTable(make_member("d1", 3))
    old = msgspec.structs.replace(make_member("d1", 9), boot_id=BootId("before"))
    assert table.merge(old, 0.0).is_newer_than(old)


def test_a_joining_gateway_is_not_offered_to_callers():
    table = MemberTable(make_member("d1"))
    table.merge(make_member("d2", 1, MemberState.JOINING), 0.0)
    assert [m.id for m in table.live(Role.GATEWAY)] == ["d1"]
    table.merge(make_member("d2", 2, MemberState.ALIVE), 0.0)
    assert len(table.live(Role.GATEWAY)) == 2


def test_a_silent_member_is_down_unless_it_refutes():
    table = MemberTable(make_member("d1"))
    table.merge(make_member("d2", 1), 0.0)
    assert table.suspect(DaemonId("d2"), 10.0).state is MemberState.SUSPECT
    assert table.expire_suspects(11.0, 2.0) == []
    assert [m.state for m in table.expire_suspects(12.0, 2.0)] == [MemberState.DOWN]
    assert table.is_gone(DaemonId("d2"), BootId("boot"))
    table.merge(make_member("d2", 2), 13.0)
    assert not table.is_gone(DaemonId("d2"), BootId("boot"))


@given(st.binary(max_size=300))
def test_any_bytes_from_a_peer_are_a_message_or_refused(data):
    try:
        decode_message(data, "peer")
    except PeerMessageInvalid as error:
        assert error.peer == "peer"


def test_messages_survive_the_wire():
    message = Heartbeat(7)
    assert decode_message(encode_message(message), "peer") == message
    with pytest.raises(PeerMessageInvalid):
        decode_message("text", "peer")
