"""Which daemons keep the record of a stream."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.origins.const import OWNERS
from chutelink.origins.owners import order_owners

DOMAINS = {f"d{number}": f"zone-{number % 3}" for number in range(8)}
requests = st.text(min_size=1, max_size=20)


@given(requests)
def test_first_owners_are_in_different_failure_domains(request_id):
    owners = order_owners(request_id, DOMAINS)[:OWNERS]
    assert len({DOMAINS[owner] for owner in owners}) == OWNERS


@given(requests)
def test_each_daemon_is_listed_once(request_id):
    assert sorted(order_owners(request_id, DOMAINS)) == sorted(DOMAINS)


@given(requests, st.sampled_from(sorted(DOMAINS)))
def test_losing_a_daemon_replaces_at_most_one_of_the_owners(request_id, lost):
    rest = {name: domain for name, domain in DOMAINS.items() if name != lost}
    before = set(order_owners(request_id, DOMAINS)[:OWNERS])
    after = set(order_owners(request_id, rest)[:OWNERS])
    assert len(before - {lost} - after) <= 1
