"""Authentication of relayed calls."""

from __future__ import annotations

import msgspec

from chutelink.ids import BootId, EndpointId
from chutelink.reachability.ticket import RelayTicket, TicketSigner

TICKET = RelayTicket(EndpointId("i 1/ä"), 17, True)
SIGNER = TicketSigner("key", BootId("boot"))


def test_ticket_is_valid_for_its_request_line_only():
    value = SIGNER.encode(TICKET, "POST", "/a?b=%2F")
    assert SIGNER.decode(value, "POST", "/a?b=%2F") == TICKET
    assert SIGNER.decode(value, "GET", "/a?b=%2F") is None
    assert SIGNER.decode(value, "POST", "/a") is None


def test_time_limit_of_ticket_is_signed():
    """A daemon from before sends tickets without this field."""
    limited = RelayTicket(EndpointId("i-1"), 17, False, 150)
    value = SIGNER.encode(limited, "POST", "/a")
    assert SIGNER.decode(value, "POST", "/a") == limited
    assert SIGNER.decode(value.replace(" 150 ", " 900 "), "POST", "/a") is None


def test_ticket_of_another_process_or_key_is_invalid():
    value = SIGNER.encode(TICKET, "POST", "/a")
    assert TicketSigner("key", BootId("next")).decode(value, "POST", "/a") is None
    assert TicketSigner("other", BootId("boot")).decode(value, "POST", "/a") is None


def test_changed_or_malformed_ticket_is_invalid():
    value = SIGNER.encode(TICKET, "POST", "/a")
    changed = value.replace(" 17 ", " 18 ")
    for text in (changed, "", "a b", "a b c d", "ä 1 1 ä", value + " x"):
        assert SIGNER.decode(text, "POST", "/a") is None


def test_home_regions_are_part_of_a_signed_ticket():
    """Guards against homes that are lost, and tickets that old releases misread."""
    plain = SIGNER.encode(TICKET, "POST", "/a")
    assert len(plain.split(" ")) == 4
    for homes in (frozenset({"süd 1,2", "a"}), frozenset()):
        ticket = msgspec.structs.replace(TICKET, home_regions=homes)
        value = SIGNER.encode(ticket, "POST", "/a")
        assert len(value.split(" ")) == 6
        assert SIGNER.decode(value, "POST", "/a") == ticket
        parts = value.split(" ")
        mac = parts[-1]
        for changed in (
            parts[:3],
            parts[:4],
            [*parts[:4], "b"],
            [*parts[:3], "9", "b"],
        ):
            assert SIGNER.decode(" ".join([*changed, mac]), "POST", "/a") is None
