"""How many loads from the weight store may begin."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chutelink.placing.changes import Site
from chutelink.placing.pace import ColdLoadPace, unseen_loads

from .test_placement import make_engine, make_site

RATE = 1.6
WINDOW_S = 5.0
EXCESS = 1.1
ALLOWED = RATE * WINDOW_S * EXCESS + 3


def make_pace() -> ColdLoadPace:
    return ColdLoadPace(RATE, WINDOW_S, EXCESS)


def test_all_models_of_a_lost_endpoint_may_be_fetched_at_once():
    assert make_pace().available(0.0) >= 6


def test_what_an_unknown_holder_began_counts_until_its_window_is_over():
    pace = make_pace()
    pace.assume(100, 10.0)
    assert pace.available(12.0) == 0
    assert pace.available(16.0) > 0


def make_sites(busy: int, idle: int) -> list[Site]:
    return [make_site(f"b{n}", {}, is_busy=True) for n in range(busy)] + [
        make_site(f"i{n}", {}) for n in range(idle)
    ]


def test_a_fleet_that_starts_anew_may_load_where_nothing_can_have_begun():
    """All daemons lost power at once; the endpoints are there and have nothing to do.

    What callers saw: no request for a busy model that no endpoint held was served for
    the 5.5 s of a whole window after the start.
    """
    engine = make_engine(cold_load_s=6.0)
    pace = make_pace()
    pace.assume(unseen_loads(make_sites(0, 6), engine, WINDOW_S + 0.5), 10.0)
    assert pace.available(11.0) >= 6


@given(
    st.lists(st.tuples(st.floats(3.0, 9.0), st.floats(0, 9)), min_size=1, max_size=12)
)
def test_never_more_loads_are_unseen_than_are_assumed(endpoints):
    """Endpoints load one model after the other, each for as long as it takes."""
    shortest_s = min(load_s for load_s, _ in endpoints)
    engine = make_engine(cold_load_s=shortest_s)
    begun, sites = 0, []
    for number, (load_s, since_s) in enumerate(endpoints):
        # The last load ended so long ago, or has so long to go, as it happens.
        starts = [since_s + load_s * n for n in range(9)]
        begun += sum(start <= WINDOW_S for start in starts)
        sites.append(make_site(f"i{number}", {}, is_busy=since_s < load_s))
    assert begun <= unseen_loads(sites, engine, WINDOW_S)


@given(st.lists(st.floats(0, 2), max_size=60))
def test_no_window_has_more_loads_than_allowed(pauses_s):
    pace = make_pace()
    now_s, begun_s = 0.0, []
    for pause_s in pauses_s:
        now_s += pause_s
        for _ in range(pace.available(now_s)):
            pace.take(now_s)
            begun_s.append(now_s)
    for first in begun_s:
        assert sum(first <= t <= first + WINDOW_S for t in begun_s) <= ALLOWED
